package cli

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/wire"
)

// planners returns the authority objects, which hold the address of each zone's planner.
func planners(ctx context.Context, cl *client) ([]config.Object, error) {
	set, err := cl.configuration(ctx)
	if err != nil {
		return nil, err
	}
	return set.OfKind(config.KindAuthority), nil
}

type drainCommand struct {
	Undo bool `long:"undo" description:"let the host be used again"`
	Args struct {
		Host string `positional-arg-name:"HOST"`
	} `positional-args:"yes" required:"yes"`
}

// Execute sends the request to all planners. Only the planner of the host's zone
// acts on it.
func (c *drainCommand) Execute([]string) error {
	ctx, cancel, cl := commandContext()
	defer cancel()
	all, err := planners(ctx, cl)
	if err != nil {
		return err
	}
	reached := 0
	for _, planner := range all {
		request := wire.DrainRequest{Host: c.Args.Host, Undo: c.Undo}
		if err := cl.callProcess(ctx, planner.Authority.Address, wire.MethodDrain, request, nil); err == nil {
			reached++
		}
	}
	if reached == 0 {
		return exitWith(ExitUnavailable, "no planner could be reached; see moorspool status")
	}
	fmt.Printf("told %d planners; follow it with moorspool watch %s\n", reached, c.Args.Host)
	return nil
}

type planCommand struct {
	File  string `short:"f" long:"file" required:"yes" description:"file or folder of YAML files"`
	Prune bool   `long:"prune" description:"count objects that the files lack as deleted"`
}

// zonePlan is the plan of one zone's planner.
type zonePlan struct {
	Zone string         `json:"zone"`
	Plan wire.PlanReply `json:"plan"`
}

// Execute prints what the planners would do.
func (c *planCommand) Execute([]string) error {
	ctx, cancel, cl := commandContext()
	defer cancel()
	_, change, err := prepareChange(ctx, cl, c.File, c.Prune)
	if err != nil {
		return err
	}
	all, err := planners(ctx, cl)
	if err != nil {
		return err
	}
	var plans []zonePlan
	for _, planner := range all {
		var reply wire.PlanReply
		request := wire.PlanRequest{Put: change.Put, Delete: change.Delete}
		if err := cl.callProcess(ctx, planner.Authority.Address, wire.MethodPlan, request, &reply); err != nil {
			return exitWith(ExitUnavailable, "the planner of %s can't be reached: %v", planner.Key.Name, err)
		}
		plans = append(plans, zonePlan{Zone: planner.Key.Name, Plan: reply})
	}
	return show(plans, func() { printTable(func(w *tabwriter.Writer) { writePlans(w, plans) }) })
}

func writePlans(w *tabwriter.Writer, plans []zonePlan) {
	fmt.Fprintln(w, "ZONE\tACTION\tMODEL\tHOST\tACCELERATOR\tREASON")
	for _, plan := range plans {
		for _, step := range plan.Plan.Steps {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", plan.Zone, step.Action, step.Model, step.Host, step.Accelerator, step.Reason)
		}
		for _, model := range plan.Plan.Unplaced {
			fmt.Fprintf(w, "%s\tunplaced\t%s\t\t\tno accelerator has room\n", plan.Zone, model)
		}
	}
}

type cutCommand struct {
	Address string `long:"address" required:"yes" description:"control address of the process"`
	Args    struct {
		Prefixes []string `positional-arg-name:"PREFIX"`
	} `positional-args:"yes"`
}

// Execute sets the address prefixes from which a process is cut off in a test.
// Without prefixes, it ends the cut.
func (c *cutCommand) Execute([]string) error {
	ctx, cancel, cl := commandContext()
	defer cancel()
	err := cl.callProcess(ctx, c.Address, wire.MethodCut, wire.CutRequest{Prefixes: c.Args.Prefixes}, nil)
	if err != nil {
		return exitWith(ExitUnavailable, "the process at %s can't be cut: %v", c.Address, err)
	}
	return nil
}
