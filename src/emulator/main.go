package emulator

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/option"
	"github.com/moorspool/moorspool/src/process"
	"github.com/moorspool/moorspool/src/route"
)

type runCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs an emulator until a termination signal.
func (c *runCommand) Execute([]string) error {
	settings, err := ReadSettings(c.Args.File)
	if err != nil {
		return err
	}
	if err := settings.Start(); err != nil {
		return err
	}
	ctx, cancel := process.SignalContext()
	defer cancel()
	<-ctx.Done()
	return nil
}

type loadCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute generates an experiment's load and prints the result; it returns an error if a check
// failed.
func (c *loadCommand) Execute([]string) error {
	experiment, err := ReadExperiment(c.Args.File)
	if err != nil {
		return err
	}
	loader, err := NewLoader(experiment)
	if err != nil {
		return err
	}
	ctx, cancel := process.SignalContext()
	defer cancel()
	result, err := loader.Run(ctx)
	if err != nil {
		return err
	}
	fmt.Print(result.Table())
	if violations := result.Violations(); len(violations) > 0 {
		return errors.Errorf("checks failed: %v", violations)
	}
	fmt.Println("all checks passed")
	return nil
}

type settingsCommand struct {
	Profile  string `long:"profile" default:"kilima" description:"which user's installation"`
	Examples string `long:"examples" required:"yes" description:"folder of the configuration"`
	Folder   string `long:"folder" required:"yes" description:"folder to write the settings to"`
	Routing  string `long:"routing" default:"cost" description:"how gateways choose: cost, or a baseline"`
}

// Execute writes the settings of a demo installation.
func (c *settingsCommand) Execute([]string) error {
	install, err := NewInstall(c.Profile, c.Examples, c.Folder, route.Mode(c.Routing))
	if err != nil {
		return err
	}
	return install.Write()
}

type postCommand struct {
	Args struct {
		URL  string `positional-arg-name:"URL"`
		Body string `positional-arg-name:"JSON"`
	} `positional-args:"yes" required:"yes"`
}

// postTimeout limits the time of the HTTP request.
const postTimeout = 5 * time.Second

// Execute posts JSON to an emulator, for example to switch its faults.
func (c *postCommand) Execute([]string) error {
	client := http.Client{Timeout: postTimeout}
	response, err := client.Post(c.Args.URL, "application/json", bytes.NewBufferString(c.Args.Body))
	if err != nil {
		return errors.Wrap(err, "posting")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("answered %s", response.Status)
	}
	return nil
}

type versionCommand struct{}

// Execute prints the version.
func (versionCommand) Execute([]string) error {
	fmt.Println("moorspool-emulator", option.Version)
	return nil
}

// Command is an additional subcommand of the tool.
type Command struct {
	Name  string
	Short string
	Data  any
}

// Main runs moorspool-emulator with additional subcommands and returns its exit code.
func Main(arguments []string, extra ...Command) int {
	p := flags.NewNamedParser("moorspool-emulator", flags.HelpFlag|flags.PassDoubleDash)
	add := func(name, short string, command any) {
		if _, err := p.AddCommand(name, short, short, command); err != nil {
			panic(err)
		}
	}
	add("run", "run the emulator that a settings file describes", &runCommand{})
	add("load", "drive an experiment's load and check the answers", &loadCommand{})
	add("sweep", "drive an experiment at several multiples of the engines' capacity", &sweepCommand{})
	add("settings", "write the settings of a demo installation", &settingsCommand{})
	add("post", "post JSON to an emulator", &postCommand{})
	for _, command := range extra {
		add(command.Name, command.Short, command.Data)
	}
	add("version", "print the version", &versionCommand{})
	if _, err := p.ParseArgs(arguments); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			fmt.Println(err)
			return 0
		}
		fmt.Fprintln(os.Stderr, "moorspool-emulator:", err)
		return 1
	}
	return 0
}
