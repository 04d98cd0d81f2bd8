package capacity

import (
	"encoding/csv"
	"fmt"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Sample is one measurement of a role at one size.
type Sample struct {
	// Series names the role and the measured quantity.
	Series string
	Size   float64
	Value  float64
}

// series describes one kind of measurement. targetSize is the size to which it is
// extrapolated.
type series struct {
	name       string
	sizeUnit   string
	unit       string
	targetSize float64
}

// allSeries lists the measurements of make capacity in the order of the page.
var allSeries = []series{
	{"control: time in force, p99", "subscribers", "ms", 340},
	{"control: bytes out for one change", "subscribers", "B", 340},
	{"control: processor time for one change, all three", "subscribers", "ms", 340},
	{"control: anonymous memory, largest of three", "subscribers", "MiB", 340},
	{"control: processor time for 100 heartbeats", "subscribers", "ms", 340},
	{"control: anonymous memory by configuration", "models", "MiB", 1300},
	{"control: full configuration", "models", "KiB", 1300},
	{"control: anonymous memory by claims", "claims", "MiB", 100000},
	{"planner: processor share", "hosts", "% of a core", 130},
	{"planner: anonymous memory", "hosts", "MiB", 130},
	{"planner: control traffic", "hosts", "B/s", 130},
	{"gateway: processor share, idle", "hosts", "% of a core", 780},
	{"gateway: anonymous memory, idle", "hosts", "MiB", 780},
	{"gateway: control traffic, idle", "hosts", "B/s", 780},
	{"gateway: processor time of 1,000 requests", "tokens each", "ms", 375},
}

// checkSeries returns an error if samples are of a series that the page does not have.
func checkSeries(samples []Sample) error {
	for _, s := range samples {
		if !slices.ContainsFunc(allSeries, func(kind series) bool { return kind.name == s.Series }) {
			return errors.Errorf("there is no series %q", s.Series)
		}
	}
	return nil
}

// WriteCSV writes samples to a file in the order in which they were taken. It writes none if the page does
// not have the series of one.
func WriteCSV(file string, samples []Sample) error {
	if err := checkSeries(samples); err != nil {
		return err
	}
	out, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "writing the samples")
	}
	defer out.Close()
	w := csv.NewWriter(out)
	_ = w.Write([]string{"series", "size", "value"})
	for _, s := range samples {
		_ = w.Write([]string{s.Series, format(s.Size), format(s.Value)})
	}
	w.Flush()
	return errors.Wrap(w.Error(), "writing the samples")
}

// ReadCSV reads a file that WriteCSV wrote.
func ReadCSV(file string) ([]Sample, error) {
	in, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "reading the samples")
	}
	defer in.Close()
	rows, err := csv.NewReader(in).ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "reading the samples")
	}
	var samples []Sample
	for i, row := range rows {
		if i == 0 {
			continue
		}
		size, errSize := strconv.ParseFloat(row[1], 64)
		value, errValue := strconv.ParseFloat(row[2], 64)
		if errSize != nil || errValue != nil {
			return nil, errors.Errorf("%s:%d: a size or value is not a number", file, i+1)
		}
		samples = append(samples, Sample{Series: row[0], Size: size, Value: value})
	}
	return samples, nil
}

func format(v float64) string { return strconv.FormatFloat(v, 'g', 4, 64) }

// line is a line fitted by least squares.
type line struct {
	slope     float64
	intercept float64
}

func fit(samples []Sample) line {
	n := float64(len(samples))
	var sx, sy, sxx, sxy float64
	for _, s := range samples {
		sx += s.Size
		sy += s.Value
		sxx += s.Size * s.Size
		sxy += s.Size * s.Value
	}
	denominator := n*sxx - sx*sx
	if denominator == 0 {
		return line{intercept: sy / max(n, 1)}
	}
	slope := (n*sxy - sx*sy) / denominator
	return line{slope: slope, intercept: (sy - slope*sx) / n}
}

func (l line) valueAt(size float64) float64 { return l.intercept + l.slope*size }

// Render returns the page's table of slopes.
func Render(samples []Sample) string {
	var b strings.Builder
	b.WriteString("| measured | size | samples (size: value) | slope for each | at the letter's size |\n|---|---|---|---|---|\n")
	for _, kind := range allSeries {
		selected := samplesOf(samples, kind.name)
		if len(selected) == 0 {
			continue
		}
		var parts []string
		for _, s := range selected {
			parts = append(parts, format(s.Size)+": "+format(s.Value))
		}
		l := fit(selected)
		fmt.Fprintf(&b, "| %s, %s | %s | %s | %s | %s: **%s** |\n", kind.name, kind.unit, kind.sizeUnit, strings.Join(parts, ", "), format(l.slope), format(kind.targetSize), format(l.valueAt(kind.targetSize)))
	}
	return b.String()
}

func samplesOf(samples []Sample, name string) []Sample {
	var selected []Sample
	for _, s := range samples {
		if s.Series == name {
			selected = append(selected, s)
		}
	}
	sort.SliceStable(selected, func(i, j int) bool { return selected[i].Size < selected[j].Size })
	return selected
}
