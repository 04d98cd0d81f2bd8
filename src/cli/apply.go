package cli

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/google/uuid"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/wire"
)

// Attempts and timing of apply.
const (
	applyAttempts       = 10
	applyRetryDelay     = 500 * time.Millisecond
	inForcePollInterval = 20 * time.Millisecond
	inForceTimeout      = 30 * time.Second
	// staleAfter is the time since its last heartbeat after which apply no longer
	// waits for a process.
	staleAfter = 8 * time.Second
)

type applyCommand struct {
	File   string `short:"f" long:"file" required:"yes" description:"file or folder of YAML files"`
	Prune  bool   `long:"prune" description:"delete objects that the files lack"`
	DryRun bool   `long:"dry-run" description:"only check what the change would meet"`
	Wait   bool   `long:"wait" description:"wait until the change is in force in every process"`
	By     string `long:"by" env:"USER" default:"operator" description:"who asks"`
	ID     string `long:"id" description:"id of the change; give the same one to send a change again"`
}

// applyResult is the output of apply.
type applyResult struct {
	Outcome  wire.Outcome    `json:"outcome" yaml:"outcome"`
	ID       string          `json:"id" yaml:"id"`
	Revision config.Revision `json:"revision" yaml:"revision"`
	Put      int             `json:"put" yaml:"put"`
	Delete   int             `json:"delete" yaml:"delete"`
	// InForce is the time from the request until the change was in force in all processes.
	InForce   string `json:"inForce,omitempty" yaml:"inForce,omitempty"`
	Processes int    `json:"processes,omitempty" yaml:"processes,omitempty"`
}

// Execute applies the configuration files.
func (c *applyCommand) Execute([]string) error {
	ctx, cancel, cl := commandContext()
	defer cancel()
	set, change, err := prepareChange(ctx, cl, c.File, c.Prune)
	if err != nil {
		return err
	}
	change.By, change.ID = c.By, c.ID
	if change.ID == "" {
		change.ID = uuid.NewString()
	}
	if len(change.Put)+len(change.Delete) == 0 {
		fmt.Println("nothing to change; revision", revisionText(set.Revision()))
		return nil
	}
	start := time.Now()
	reply, err := sendChange(ctx, cl, wire.ApplyRequest{Change: change, DryRun: c.DryRun})
	if err != nil {
		return err
	}
	result := applyResult{Outcome: reply.Outcome, ID: change.ID, Revision: reply.Revision, Put: len(change.Put), Delete: len(change.Delete)}
	if c.Wait && !c.DryRun {
		count, err := awaitInForce(ctx, cl, reply.Revision)
		if err != nil {
			return err
		}
		result.InForce = time.Since(start).Round(time.Millisecond).String()
		result.Processes = count
	}
	return show(result, result.text)
}

func (a applyResult) text() {
	fmt.Printf("%s as revision %s: %d put, %d deleted (change %s)\n", a.Outcome, revisionText(a.Revision), a.Put, a.Delete, a.ID)
	if a.InForce != "" {
		fmt.Printf("in force in %d processes after %s\n", a.Processes, a.InForce)
	}
}

// prepareChange reads and validates files. It returns the current configuration
// and the change that leads to the files' content.
func prepareChange(ctx context.Context, cl *client, path string, prune bool) (*config.Set, config.Change, error) {
	sources, err := config.ReadFolder(path)
	if err != nil {
		return nil, config.Change{}, refusedError(err)
	}
	set, err := cl.configuration(ctx)
	if err != nil {
		return nil, config.Change{}, err
	}
	locations := map[config.Key]config.Location{}
	var wanted []config.Object
	for _, source := range sources {
		key := source.Object().Key
		if _, duplicate := locations[key]; duplicate {
			return nil, config.Change{}, refusedError(config.Findings{source.Location().At("name", key.String()+" is written twice")})
		}
		locations[key] = source.Location()
		wanted = append(wanted, source.Object())
	}
	put, remove := set.Difference(wanted, prune)
	if findings := config.Check(set.WithChanges(put, remove), locations); len(findings) > 0 {
		return nil, config.Change{}, refusedError(findings.Err())
	}
	return set, config.Change{Base: set.Revision(), Put: put, Delete: remove}, nil
}

func refusedError(err error) error {
	return exitWith(ExitRefused, "%v", err)
}

// sendChange requests a change. While the outcome is unknown it repeats the
// request, which has the same id each time.
func sendChange(ctx context.Context, cl *client, request wire.ApplyRequest) (wire.ApplyReply, error) {
	var reply wire.ApplyReply
	var err error
	for i := 0; i < applyAttempts; i++ {
		reply = wire.ApplyReply{}
		err = cl.callControlNode(ctx, wire.MethodApply, request, &reply)
		if err == nil && reply.Outcome != wire.Unknown && reply.Outcome != wire.Unavailable {
			break
		}
		time.Sleep(applyRetryDelay)
	}
	if err != nil {
		return reply, exitWith(ExitUnavailable, "%v", err)
	}
	switch reply.Outcome {
	case wire.Accepted:
		return reply, nil
	case wire.Conflicted:
		text := "the change was based on an older revision; run diff, then apply again. Changed since:"
		for _, conflict := range reply.Conflicts {
			text += fmt.Sprintf("\n  %s by %s at revision %s", conflict.Key, conflict.By, revisionText(conflict.Revision))
		}
		return reply, exitWith(ExitConflict, "%s", text)
	case wire.Refused:
		if len(reply.Findings) > 0 {
			return reply, refusedError(config.Findings(reply.Findings).Err())
		}
		return reply, exitWith(ExitRefused, "refused: %s", reply.Reason)
	}
	return reply, exitWith(ExitUnavailable, "%s: %s; send it again with --id %s", reply.Outcome, reply.Reason, request.Change.ID)
}

// awaitInForce polls the processes that have recently sent a heartbeat to a control
// node, until the revision is in force in all of them. It returns their number.
func awaitInForce(ctx context.Context, cl *client, revision config.Revision) (int, error) {
	deadline := time.Now().Add(inForceTimeout)
	nodes, err := cl.nodes(ctx)
	if err != nil {
		return 0, err
	}
	waiting := map[string]string{}
	for _, node := range nodes {
		if time.Since(node.SeenAt) < staleAfter && !node.Leaving {
			waiting[node.Node] = node.Address
		}
	}
	count := len(waiting)
	for len(waiting) > 0 {
		for name, address := range waiting {
			var status wire.Status
			err := cl.callProcess(ctx, address, wire.MethodStatus, wire.Empty{}, &status)
			if err == nil && !status.Revision.Before(revision) {
				delete(waiting, name)
			}
		}
		if len(waiting) == 0 {
			break
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return count, exitWith(ExitFailed, "accepted, but not yet in force in %d processes; see moorspool status", len(waiting))
		}
		time.Sleep(inForcePollInterval)
	}
	return count, nil
}

type diffCommand struct {
	File  string `short:"f" long:"file" required:"yes" description:"file or folder of YAML files"`
	Prune bool   `long:"prune" description:"count objects that the files lack as deleted"`
}

// Execute prints what apply would change.
func (c *diffCommand) Execute([]string) error {
	ctx, cancel, cl := commandContext()
	defer cancel()
	set, change, err := prepareChange(ctx, cl, c.File, c.Prune)
	if err != nil {
		return err
	}
	for _, object := range change.Put {
		sign := "+"
		if _, found := set.Get(object.Key); found {
			sign = "~"
		}
		fmt.Println(sign, object.Key)
	}
	for _, key := range change.Delete {
		fmt.Println("-", key)
	}
	if len(change.Put)+len(change.Delete) > 0 {
		return exitWith(ExitFailed, "the files differ from revision %s", revisionText(set.Revision()))
	}
	return nil
}

type checkCommand struct {
	File string `short:"f" long:"file" required:"yes" description:"file or folder of YAML files"`
}

// Execute validates the files together, without a control node.
func (c *checkCommand) Execute([]string) error {
	sources, err := config.ReadFolder(c.File)
	if err != nil {
		return refusedError(err)
	}
	if findings := config.CheckSources(sources); len(findings) > 0 {
		return refusedError(findings.Err())
	}
	fmt.Fprintf(os.Stdout, "%d objects are sound\n", len(sources))
	return nil
}

func revisionText(r config.Revision) string { return fmt.Sprintf("%d.%d", r.Term, r.Index) }
