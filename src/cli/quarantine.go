package cli

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/moorspool/moorspool/src/wire"
)

type quarantineCommand struct {
	At   string `long:"at" required:"yes" description:"control address of a control node of the installation, IP:PORT"`
	Lift string `long:"lift" description:"let the contents and parts of prompts through again whose digest begins so, or the part with that ID"`
	By   string `long:"by" env:"USER" default:"operator" description:"who asks"`
}

// Execute prints the request contents and parts of prompts under which backend servers ended, or lifts the
// quarantine of some.
func (c *quarantineCommand) Execute([]string) error {
	ctx, cancel, cl := commandContext()
	defer cancel()
	if c.Lift != "" {
		return c.lift(ctx, cl)
	}
	var quarantined wire.Quarantine
	if err := cl.callProcess(ctx, c.At, wire.MethodQuarantineList, wire.Empty{}, &quarantined); err != nil {
		return exitWith(ExitUnavailable, "%s can't be reached: %v", c.At, err)
	}
	return show(quarantined.Entries, func() { printQuarantine(quarantined) })
}

func (c *quarantineCommand) lift(ctx context.Context, cl *client) error {
	var reply wire.LiftReply
	if err := cl.callProcess(ctx, c.At, wire.MethodQuarantineLift, wire.LiftRequest{Digest: c.Lift, By: c.By}, &reply); err != nil {
		return exitWith(ExitUnavailable, "%s can't be reached: %v", c.At, err)
	}
	if len(reply.Lifted) == 0 {
		return exitWith(ExitFailed, "no suspected content or part has a digest that begins with %s, and no part that ID", c.Lift)
	}
	for _, digest := range reply.Lifted {
		fmt.Println("let through again:", digest)
	}
	return nil
}

func printQuarantine(quarantined wire.Quarantine) {
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	// An error of writing to the terminal is ignored.
	defer func() { _ = w.Flush() }()
	fmt.Fprintln(w, "DIGEST\tPART\tENDS\tSERVED\tLAST\tBACKEND SERVERS")
	for _, entry := range quarantined.Entries {
		last := (time.Duration(entry.AgeMS) * time.Millisecond).Round(time.Second)
		fmt.Fprintf(w, "%s\t%s\t%d\t%t\t%s ago\t%s\n", entry.Digest, cmp.Or(entry.Part, "-"), len(entry.Failures), entry.Served, last, strings.Join(entry.Failures, " "))
	}
}
