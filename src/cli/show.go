package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/option"
	"github.com/moorspool/moorspool/src/wire"
)

// show prints a value in the selected output format. text prints it for the default
// format.
func show(value any, text func()) error {
	switch options.Output {
	case "json":
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	case "yaml":
		// Converts from JSON, so that names and units are the same in both formats.
		data, err := json.Marshal(value)
		if err != nil {
			return errors.Wrap(err, "encoding the output")
		}
		out, err := yaml.JSONToYAML(data)
		if err != nil {
			return errors.Wrap(err, "encoding the output")
		}
		_, err = os.Stdout.Write(out)
		return err
	}
	text()
	return nil
}

func printTable(write func(w *tabwriter.Writer)) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	write(w)
	_ = w.Flush()
}

type getCommand struct {
	Args struct {
		Kind string `positional-arg-name:"KIND"`
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"yes"`
}

// Execute prints objects.
func (c *getCommand) Execute([]string) error {
	ctx, cancel, cl := commandContext()
	defer cancel()
	set, err := cl.configuration(ctx)
	if err != nil {
		return err
	}
	objects := []config.Object{}
	for _, object := range set.Objects() {
		if c.Args.Kind != "" && string(object.Key.Kind) != c.Args.Kind {
			continue
		}
		if c.Args.Name != "" && object.Key.Name != c.Args.Name {
			continue
		}
		objects = append(objects, object)
	}
	if c.Args.Name != "" && len(objects) == 0 {
		return exitWith(ExitFailed, "there is no %s %s; see moorspool get %s", c.Args.Kind, c.Args.Name, c.Args.Kind)
	}
	return show(objects, func() {
		printTable(func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "OBJECT\tREVISION\tBY")
			for _, object := range objects {
				fmt.Fprintf(w, "%s\t%s\t%s\n", object.Key, revisionText(object.Revision), object.By)
			}
		})
	})
}

type statusCommand struct{}

// fleetStatus is the output of status.
type fleetStatus struct {
	ControlNodes []wire.Status     `json:"controlNodes"`
	Nodes        []wire.NodeStatus `json:"nodes"`
}

// Execute prints the status of every process.
func (c *statusCommand) Execute([]string) error {
	ctx, cancel, cl := commandContext()
	defer cancel()
	nodes, err := cl.nodes(ctx)
	if err != nil {
		return err
	}
	all := fleetStatus{ControlNodes: cl.controlNodeStatuses(ctx), Nodes: nodes}
	return show(all, func() { printTable(all.write) })
}

// slowWriteThreshold is the duration from which the table shows a write in progress.
const slowWriteThreshold = time.Second

func (s fleetStatus) write(w *tabwriter.Writer) {
	fmt.Fprintln(w, "PROCESS\tROLE\tZONE\tREVISION\tHEARD\tSTATE\tCPU\tRESIDENT\tANONYMOUS\tCONTROL B/S")
	for _, controlNode := range s.ControlNodes {
		state := controlNode.ControlNode.Role
		if !controlNode.ControlNode.CaughtUp {
			state += ", not caught up"
		}
		if writeDuration := time.Duration(controlNode.ControlNode.WriteMS) * time.Millisecond; writeDuration >= slowWriteThreshold {
			state += ", a write under way for " + writeDuration.String()
		}
		fmt.Fprintf(w, "%s\tcontrol\t%s\t%s\tnow\t%s\t%s\n", controlNode.Node, controlNode.Zone, revisionText(controlNode.Revision), state, costText(controlNode.Control))
	}
	for _, node := range s.Nodes {
		state := "live"
		if node.Leaving {
			state = "leaving"
		}
		heard := time.Since(node.SeenAt).Round(100*time.Millisecond).String() + " ago"
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", node.Node, node.Role, node.Zone, revisionText(node.Revision), heard, state, costText(node.Control))
	}
}

func costText(cost wire.ControlCost) string {
	uptime := max(cost.Uptime.Std().Seconds(), 1)
	share := 100 * cost.CPU.Std().Seconds() / uptime
	rate := float64(cost.BytesIn+cost.BytesOut) / uptime
	return fmt.Sprintf("%.2f %%\t%.1f MiB\t%.1f MiB\t%.0f", share, mebibytes(cost.Resident), mebibytes(cost.Anonymous), rate)
}

func mebibytes(b config.Bytes) float64 { return float64(b) / float64(config.MiB) }

type watchCommand struct {
	Args struct {
		Word string `positional-arg-name:"WORD"`
	} `positional-args:"yes"`
}

// eventPollTimeout is how long a process may wait for new events before it answers.
const eventPollTimeout = time.Second

// Execute prints the events of all processes until a signal.
func (c *watchCommand) Execute([]string) error {
	ctx, cancel, cl := commandContext()
	defer cancel()
	sources, err := eventSources(ctx, cl)
	if err != nil {
		return err
	}
	out := make(chan event.Event)
	for _, source := range sources {
		go follow(ctx, source, c.Args.Word, out)
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-out:
			if err := showEvent(e); err != nil {
				return err
			}
		}
	}
}

// eventSource fetches events from one process.
type eventSource func(ctx context.Context, request wire.EventsRequest) (wire.EventsReply, error)

func eventSources(ctx context.Context, cl *client) ([]eventSource, error) {
	nodes, err := cl.nodes(ctx)
	if err != nil {
		return nil, err
	}
	var sources []eventSource
	for _, address := range cl.controlNodes {
		sources = append(sources, func(ctx context.Context, request wire.EventsRequest) (wire.EventsReply, error) {
			var reply wire.EventsReply
			err := cl.post(ctx, address, wire.MethodEvents, request, &reply)
			return reply, err
		})
	}
	for _, node := range nodes {
		nodeClient := newClient(options.ControlNodes)
		sources = append(sources, func(ctx context.Context, request wire.EventsRequest) (wire.EventsReply, error) {
			var reply wire.EventsReply
			err := nodeClient.callProcess(ctx, node.Address, wire.MethodEvents, request, &reply)
			return reply, err
		})
	}
	return sources, nil
}

func follow(ctx context.Context, fetch eventSource, about string, out chan<- event.Event) {
	request := wire.EventsRequest{About: about, Wait: config.Duration(eventPollTimeout), Newest: true}
	for ctx.Err() == nil {
		reply, err := fetch(ctx, request)
		if err != nil {
			time.Sleep(eventPollTimeout)
			continue
		}
		request.Newest = false
		request.After = reply.Last
		for _, e := range reply.Events {
			select {
			case out <- e:
			case <-ctx.Done():
				return
			}
		}
	}
}

func showEvent(e event.Event) error {
	return show(e, func() { fmt.Println(eventLine(e)) })
}

func eventLine(e event.Event) string {
	line := fmt.Sprintf("%s %-22s %3d %s", e.At.Format("15:04:05.000"), e.Node, uint16(e.Kind), e.Name)
	for _, part := range []struct{ name, value string }{
		{"request", e.Request}, {"model", e.Model}, {"host", e.Host}, {"zone", e.Zone}, {"reason", e.Reason}, {"rejected", e.Rejected},
	} {
		if part.value != "" {
			line += fmt.Sprintf(" %s=%q", part.name, part.value)
		}
	}
	return line
}

type explainCommand struct {
	Args struct {
		Word string `positional-arg-name:"REQUEST|MODEL|HOST"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the stored events about a request, model or host in order of time.
func (c *explainCommand) Execute([]string) error {
	ctx, cancel, cl := commandContext()
	defer cancel()
	sources, err := eventSources(ctx, cl)
	if err != nil {
		return err
	}
	events := collect(ctx, sources, c.Args.Word)
	if len(events) == 0 {
		return exitWith(ExitFailed, "no process has events about %s; events are kept only for a limited time", c.Args.Word)
	}
	return show(events, func() {
		for _, e := range events {
			fmt.Println(eventLine(e))
		}
	})
}

func collect(ctx context.Context, sources []eventSource, about string) []event.Event {
	var mu sync.Mutex
	var all []event.Event
	var wait sync.WaitGroup
	for _, fetch := range sources {
		wait.Add(1)
		go func() {
			defer wait.Done()
			reply, err := fetch(ctx, wire.EventsRequest{About: about})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, reply.Events...)
		}()
	}
	wait.Wait()
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	return all
}

type versionCommand struct{}

// Execute prints the version.
func (c *versionCommand) Execute([]string) error {
	fmt.Println("moorspool", option.Version)
	return nil
}
