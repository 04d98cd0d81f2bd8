package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/process"
)

// The exit codes.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitRefused     = 4
	ExitUnavailable = 5
)

// exitError carries an exit code with its message.
type exitError struct {
	code    int
	message string
}

// Error returns the message.
func (e *exitError) Error() string { return e.message }

func exitWith(code int, format string, args ...any) error {
	return &exitError{code: code, message: fmt.Sprintf(format, args...)}
}

// globalOptions are the options of all commands.
type globalOptions struct {
	ControlNodes string `long:"control-nodes" env:"MOORSPOOL_CONTROL_NODES" default:"127.0.0.1:7101" description:"administration addresses of the control nodes, with commas between"`
	Output       string `short:"o" long:"output" default:"table" choice:"table" choice:"json" choice:"yaml" description:"form of the output"`
}

var options globalOptions

// commandContext returns a context that ends at a signal and a client.
func commandContext() (context.Context, context.CancelFunc, *client) {
	ctx, cancel := process.SignalContext()
	return ctx, cancel, newClient(options.ControlNodes)
}

// Main runs moorspool and returns its exit code.
func Main(arguments []string) int {
	p := flags.NewNamedParser("moorspool", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Global options", "", &options); err != nil {
		panic(err)
	}
	add := func(name, short, long string, command any) {
		if _, err := p.AddCommand(name, short, long, command); err != nil {
			panic(err)
		}
	}
	add("apply", "change the configuration", "Checks the files of a folder, asks the control nodes for the change that they make, and can wait until it is in force everywhere. Exit codes: 3 for a conflict, 4 for findings, 5 when no control node can accept changes now.", &applyCommand{})
	add("diff", "show what apply would change", "Shows what apply would change, without doing it. Exits with 1 if there is a difference.", &diffCommand{})
	add("get", "show the configuration in force", "Shows objects: all, those of a KIND, or one KIND NAME.", &getCommand{})
	add("status", "show every process and the revision in force there", "Shows control nodes, planners and gateways with the revision in force, its age, and what each spends on control.", &statusCommand{})
	add("watch", "follow the events of all processes", "Streams events of all processes as they happen; a WORD keeps those about one request, model, host, availability zone or kind of event.", &watchCommand{})
	add("explain", "tell what happened to a request, model or host", "Strings together the kept events of all processes about a request, model or host.", &explainCommand{})
	add("drain", "move everything off a backend server", "Tells the planner of the host's availability zone to move all models off it; --undo takes that back.", &drainCommand{})
	add("zone", "show, drain or refill availability zones", "Shows the availability zones whose backend servers get nothing new. --drain empties one, --end lets it take requests again; either may be sent again until it is accepted.", &zoneCommand{})
	add("quarantine", "show or lift what is not sent to backend servers any more", "Shows the contents of requests under which backend servers ended, by the beginning of their digest as logs show it. With three ends a content is refused everywhere; --lift lets it through again.", &quarantineCommand{})
	add("queues", "show which requests wait for room and which were refused", "Shows, of all control nodes, which requests wait for room at the replicas of their model and which have a place, by model, route and client account, and what was refused in the last seconds, why and in whose favour.", &queuesCommand{})
	add("plan", "show what planners would do for changed files", "Asks every planner what it would load and drop if the files were applied, without doing it.", &planCommand{})
	add("check", "check configuration files", "Checks the files of a folder as a whole, without asking anybody.", &checkCommand{})
	add("cut", "cut a process off from addresses (tests only)", "Makes a process that was started with faults: true lose all traffic to addresses with the given prefixes; none heals the cut.", &cutCommand{})
	add("version", "print the version", "Prints the version.", &versionCommand{})
	_, err := p.ParseArgs(arguments)
	return exitCode(err)
}

func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var flagErr *flags.Error
	if errors.As(err, &flagErr) {
		if flagErr.Type == flags.ErrHelp {
			fmt.Println(err)
			return ExitOK
		}
		fmt.Fprintln(os.Stderr, "moorspool:", err)
		return ExitUsage
	}
	fmt.Fprintln(os.Stderr, "moorspool:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailed
}
