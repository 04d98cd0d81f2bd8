package emulator

import (
	"context"
	"encoding/csv"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/process"
)

type sweepCommand struct {
	Name   string  `long:"name" default:"cost" description:"name of the run in table and CSV"`
	CSV    string  `long:"csv" description:"file to append the rows to"`
	Length string  `long:"length" default:"8s" description:"length of each step"`
	Warm   float64 `long:"warm" default:"0.4" description:"multiple of the warm-up step that is not counted"`
	Args   struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// multiples are the loads of a sweep as multiples of the engines' capacity.
var multiples = []float64{0.5, 0.8, 1.0, 1.5}

// engineCapacity returns how many requests a second the emulated engines complete. More concurrent
// requests than slots slow each other down, so that the capacity does not grow beyond the slots.
func engineCapacity(e Experiment) float64 {
	service := emulatorPrefill + time.Duration(e.Tokens)*emulatorGap
	return float64(e.Accelerators*emulatorSlots) / service.Seconds()
}

// Execute generates the load at each multiple and prints a row for it.
func (c *sweepCommand) Execute([]string) error {
	e, err := ReadExperiment(c.Args.File)
	if err != nil {
		return err
	}
	var length config.Duration
	if err := length.UnmarshalText([]byte(c.Length)); err != nil {
		return err
	}
	e.Duration, e.Bursts, e.Service, e.Unstreamed, e.Tries = length, Bursts{}, ServiceLoad{}, 0, 1
	ctx, cancel := process.SignalContext()
	defer cancel()
	if _, err := runAt(ctx, e, c.Warm); err != nil {
		return err
	}
	for _, multiple := range multiples {
		result, err := runAt(ctx, e, multiple)
		if err != nil {
			return err
		}
		row := newSweepResult(c.Name, multiple, e, result)
		fmt.Println(row.text())
		if err := row.append(c.CSV); err != nil {
			return err
		}
		if violations := result.Violations(); len(violations) > 0 {
			return errors.Errorf("checks failed at %v x: %v", multiple, violations)
		}
	}
	return nil
}

func runAt(ctx context.Context, e Experiment, multiple float64) (Result, error) {
	e.Rate = engineCapacity(e) * multiple
	loader, err := NewLoader(e)
	if err != nil {
		return Result{}, err
	}
	return loader.Run(ctx)
}

// sweepResult is the result of one step.
type sweepResult struct {
	name     string
	multiple float64
	requests int
	attained float64
	goodput  float64
	refused  int
	first    [3]time.Duration
	between  [3]time.Duration
}

func newSweepResult(name string, multiple float64, e Experiment, r Result) sweepResult {
	return sweepResult{
		name:     name,
		multiple: multiple,
		requests: r.Requests,
		attained: float64(r.Attained) / float64(max(r.Requests, 1)),
		goodput:  float64(r.Attained) / e.Duration.Std().Seconds(),
		refused:  r.RefusedNotRun + r.RefusedUnknown,
		first:    r.FirstToken,
		between:  r.Between,
	}
}

func (l sweepResult) text() string {
	return fmt.Sprintf("%-15s %4.1fx %6d requests  attained %5.1f %%  goodput %6.1f/s  refused %5d  first token %v  between %v", l.name, l.multiple, l.requests, 100*l.attained, l.goodput, l.refused, l.first, l.between)
}

// append appends the row to a CSV file, or does nothing if the name is "".
func (l sweepResult) append(name string) error {
	if name == "" {
		return nil
	}
	file, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return errors.Wrap(err, "writing the sweep")
	}
	defer file.Close()
	w := csv.NewWriter(file)
	number := func(v float64) string { return strconv.FormatFloat(v, 'f', 4, 64) }
	_ = w.Write([]string{l.name, number(l.multiple), strconv.Itoa(l.requests), number(l.attained), number(l.goodput), strconv.Itoa(l.refused), number(l.first[1].Seconds()), number(l.between[1].Seconds())})
	w.Flush()
	return w.Error()
}
