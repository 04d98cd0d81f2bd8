package cli

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/moorspool/moorspool/src/wire"
)

type queuesCommand struct {
	At      string `long:"at" required:"yes" description:"control address of a control node of the installation, IP:PORT"`
	Account string `long:"account" description:"show the requests of this client account only"`
}

// Execute prints which requests wait for room, and which were refused.
func (c *queuesCommand) Execute([]string) error {
	ctx, cancel, cl := commandContext()
	defer cancel()
	var list wire.QueueList
	if err := cl.callProcess(ctx, c.At, wire.MethodQueueList, wire.QueueListRequest{All: true}, &list); err != nil {
		return exitWith(ExitUnavailable, "%s can't be reached: %v", c.At, err)
	}
	if c.Account != "" {
		list = ofAccount(list, c.Account)
	}
	return show(list, func() { printQueues(list) })
}

// ofAccount returns the part of a list that is about one client account.
func ofAccount(list wire.QueueList, account string) wire.QueueList {
	var filtered wire.QueueList
	for _, node := range list.Nodes {
		node.Groups = slices.DeleteFunc(slices.Clone(node.Groups), func(g wire.QueueGroup) bool { return g.Account != account })
		node.Refusals = slices.DeleteFunc(slices.Clone(node.Refusals), func(r wire.QueueRefusal) bool { return r.Account != account })
		filtered.Nodes = append(filtered.Nodes, node)
	}
	return filtered
}

func printQueues(list wire.QueueList) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	// An error of writing to the terminal is ignored.
	defer func() { _ = w.Flush() }()
	fmt.Fprintln(w, "SERVICE\tMODEL\tROUTE\tACCOUNT\tWAITING\tPLACES\tOLDEST\tOWNER")
	for _, node := range list.Nodes {
		for _, g := range node.Groups {
			oldest := time.Duration(g.OldestMS) * time.Millisecond
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", g.Service, g.Model, g.Route, cmp.Or(g.Account, "-"), g.Waiting, g.Places, oldest, node.Node)
		}
	}
	fmt.Fprintln(w, "\nREFUSED\tSERVICE\tROUTE\tACCOUNT\tREASON\tIN FAVOUR OF")
	for _, r := range refusals(list) {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", r.Count, r.Service, r.Route, cmp.Or(r.Account, "-"), r.Reason, cmp.Or(r.InFavour, "-"))
	}
	for _, node := range list.Nodes {
		if node.Error != "" {
			fmt.Fprintf(w, "\nnot known of %s: %s\n", node.Node, node.Error)
		}
	}
}

// refusals adds up the refusals of all nodes, the most frequent ones first.
func refusals(list wire.QueueList) []wire.QueueRefusal {
	counts := map[wire.QueueRefusal]int{}
	for _, node := range list.Nodes {
		for _, r := range node.Refusals {
			count := r.Count
			r.Count = 0
			counts[r] += count
		}
	}
	sums := make([]wire.QueueRefusal, 0, len(counts))
	for r, count := range counts {
		r.Count = count
		sums = append(sums, r)
	}
	slices.SortFunc(sums, func(a, b wire.QueueRefusal) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Reason, b.Reason))
	})
	return sums
}
