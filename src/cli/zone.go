package cli

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/moorspool/moorspool/src/wire"
)

type zoneCommand struct {
	At    string `long:"at" required:"yes" description:"control address of a control node of the installation, IP:PORT"`
	Drain string `long:"drain" description:"let the backend servers of this availability zone get nothing new"`
	End   string `long:"end" description:"end the drain of this availability zone"`
	By    string `long:"by" env:"USER" default:"operator" description:"who asks"`
}

// Execute prints the drained availability zones, drains one, or ends its drain.
func (c *zoneCommand) Execute([]string) error {
	ctx, cancel, cl := commandContext()
	defer cancel()
	switch {
	case c.Drain != "" && c.End != "":
		return exitWith(ExitUsage, "--drain and --end are mutually exclusive")
	case c.Drain != "":
		return c.sendOrder(ctx, cl, c.Drain, true)
	case c.End != "":
		return c.sendOrder(ctx, cl, c.End, false)
	}
	var drains wire.ZoneDrains
	if err := cl.callProcess(ctx, c.At, wire.MethodZoneDrains, wire.Empty{}, &drains); err != nil {
		return exitWith(ExitUnavailable, "%s can't be reached: %v", c.At, err)
	}
	return show(drains, func() { printZones(drains) })
}

func (c *zoneCommand) sendOrder(ctx context.Context, cl *client, zone string, drain bool) error {
	var reply wire.ZoneReply
	if err := cl.callProcess(ctx, c.At, wire.MethodZoneDrain, wire.ZoneDrainRequest{Zone: zone, Drain: drain, By: c.By}, &reply); err != nil {
		return exitWith(ExitUnavailable, "%s gave no answer, send the order again: %v", c.At, err)
	}
	switch {
	case reply.Outcome == wire.Accepted:
		fmt.Println("accepted")
		return nil
	case reply.Outcome == wire.Refused:
		return exitWith(ExitFailed, "%s", reply.Reason)
	case reply.RetryMS > 0:
		return exitWith(ExitUnavailable, "%s; send it again after %s", reply.Reason, time.Duration(reply.RetryMS)*time.Millisecond)
	}
	return exitWith(ExitUnavailable, "%s; send it again", reply.Reason)
}

func printZones(drains wire.ZoneDrains) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	// An error of writing to the terminal is ignored.
	defer func() { _ = w.Flush() }()
	fmt.Fprintln(w, "DRAINED ZONE\tAS OF ORDER")
	for _, zone := range drains.Zones {
		fmt.Fprintf(w, "%s\t%d\n", zone, drains.Revision)
	}
}
