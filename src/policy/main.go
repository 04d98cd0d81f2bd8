package policy

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Command is the emulator tool's policy command.
type Command struct {
	Out  string `long:"out" default:"run/policy" description:"folder for the CSV file and the plots"`
	Args struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute runs every policy on every experiment.
func (c *Command) Execute([]string) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return errors.Wrap(err, "making the output folder")
	}
	var all []Result
	for _, file := range c.Args.Files {
		experiment, err := ReadExperiment(file)
		if err != nil {
			return err
		}
		var results []Result
		for _, p := range Policies {
			results = append(results, Run(experiment, p))
		}
		if err := writeTo(filepath.Join(c.Out, FileName(experiment.Name)), func(f *os.File) error { return Plot(f, results) }); err != nil {
			return err
		}
		all = append(all, results...)
	}
	Table(os.Stdout, all)
	return writeTo(filepath.Join(c.Out, "policy.csv"), func(f *os.File) error { return CSV(f, all) })
}

func writeTo(name string, write func(*os.File) error) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "writing results")
	}
	defer file.Close()
	return write(file)
}
