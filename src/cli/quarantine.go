package cli

import (
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
	Lift string `long:"lift" description:"let the contents through again whose digest begins so"`
	By   string `long:"by" env:"USER" default:"operator" description:"who asks"`
}

// Execute prints the request contents during which backend servers ended, or lifts
// the quarantine of some.
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
		return exitWith(ExitFailed, "no suspected content has a digest that begins with %s", c.Lift)
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
	fmt.Fprintln(w, "CONTENT\tENDS\tLAST\tBACKEND SERVERS")
	for _, entry := range quarantined.Entries {
		last := (time.Duration(entry.AgeMS) * time.Millisecond).Round(time.Second)
		fmt.Fprintf(w, "%s\t%d\t%s ago\t%s\n", entry.Digest, len(entry.Failures), last, strings.Join(entry.Failures, " "))
	}
}
