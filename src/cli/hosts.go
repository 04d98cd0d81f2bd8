package cli

import (
	"context"
	"fmt"
	"strings"
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
	request := wire.DrainRequest{Host: c.Args.Host, Undo: c.Undo}
	err = tellPlanners(all, func(address string) error {
		return cl.callProcess(ctx, address, wire.MethodDrain, request, nil)
	})
	if err != nil {
		return err
	}
	fmt.Printf("told %d planners; follow it with moorspool watch %s\n", len(all), c.Args.Host)
	return nil
}

// tellPlanners calls every planner and returns an error that names those that were
// not reached: the one that has to act may be among them.
func tellPlanners(all []config.Object, call func(address string) error) error {
	var missed []string
	for _, planner := range all {
		if err := call(planner.Authority.Address); err != nil {
			missed = append(missed, fmt.Sprintf("%s (%v)", planner.Key.Name, err))
		}
	}
	switch {
	case len(all) == 0:
		return exitWith(ExitUnavailable, "no planner is known; see moorspool status")
	case len(missed) > 0:
		return exitWith(ExitUnavailable, "told %d of %d planners; send it again, as these were not reached: %s", len(all)-len(missed), len(all), strings.Join(missed, ", "))
	}
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
