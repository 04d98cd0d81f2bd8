package capacity

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// The marks in the page that enclose the generated tables.
const (
	markBegin = "<!-- slopes: written by make capacity -->\n"
	markEnd   = "<!-- end of slopes -->\n"
)

// Command is the emulator tool's capacity command.
type Command struct {
	CSV  string `long:"csv" default:"docs/capacity.csv" description:"where the samples go"`
	Page string `long:"page" default:"docs/CAPACITY.md" description:"page whose tables are brought up to date"`
	// Render updates the page from the samples of an earlier run without measuring.
	Render bool `long:"render" description:"only write the page's tables from the CSV file"`
}

// Execute measures the processes of a demo installation with profile kilima.
func (c *Command) Execute([]string) error {
	if c.Render {
		samples, err := ReadCSV(c.CSV)
		if err != nil {
			return err
		}
		return UpdatePage(c.Page, samples)
	}
	target := Target{
		ControlNodes: []string{"127.0.1.20:7100", "127.0.2.20:7100", "127.0.3.20:7100"},
		Planner:      "127.0.1.30:7100",
		Gateway:      "127.0.1.10:7100",
		Clients:      "127.0.1.10:8080",
		Platform:     "127.0.99.2:9000",
		Zone:         "dar-a",
		Prefix:       "127.0.",
		StubPlanner:  "127.0.98.1:7100",
		Zones:        []string{"dar-a", "dar-b", "dar-c"},
	}
	samples, err := NewMeter(target).Run(context.Background())
	if err != nil {
		return err
	}
	if err := WriteCSV(c.CSV, samples); err != nil {
		return err
	}
	return UpdatePage(c.Page, samples)
}

// UpdatePage writes the tables of the samples between the marks in the page.
func UpdatePage(file string, samples []Sample) error {
	page, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "reading the page")
	}
	before, rest, found := strings.Cut(string(page), markBegin)
	_, after, ended := strings.Cut(rest, markEnd)
	if !found || !ended {
		return errors.Errorf("%s lacks the marks %q and %q", file, strings.TrimSpace(markBegin), strings.TrimSpace(markEnd))
	}
	text := fmt.Sprint(before, markBegin, "\n", RenderRoles(samples), "\n", Render(samples), "\n", markEnd, after)
	return errors.Wrap(os.WriteFile(file, []byte(text), 0o644), "writing the page")
}
