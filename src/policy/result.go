package policy

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/wcharczuk/go-chart/v2"
)

// windowLength is how much time one point of a plot stands for.
const windowLength = 5 * time.Second

// windowCount counts one point of a plot.
type windowCount struct {
	requests int
	attained int
	began    time.Time
}

// add closes the window when it is over.
func (w *windowCount) add(b *bench) {
	if w.began.IsZero() {
		w.began = b.now
	}
	if b.now.Sub(w.began) < windowLength {
		return
	}
	share := 1.0
	if w.requests > 0 {
		share = float64(w.attained) / float64(w.requests)
	}
	b.result.Times = append(b.result.Times, b.now.Sub(b.began).Seconds())
	b.result.Shares = append(b.result.Shares, share)
	*w = windowCount{began: b.now}
}

// Result is what a run came to.
type Result struct {
	Experiment   string
	Policy       string
	Accelerators int
	Requests     int
	Attained     int
	Refused      int
	// Bound is what a clairvoyant could have attained.
	Bound       float64
	Loads       int
	Unloads     int
	Breaches    int
	Unreachable time.Duration
	// Times and Shares are the share attained over time, in seconds.
	Times  []float64
	Shares []float64
	crowds *hdrhistogram.Histogram
}

// crowdScale keeps two digits of how crowded engines were.
const crowdScale = 100

func (r *Result) wait(crowd float64) {
	if r.crowds == nil {
		r.crowds = hdrhistogram.New(1, 1_000_000, 3)
	}
	_ = r.crowds.RecordValue(int64(crowd * crowdScale))
}

// Attainment returns the share attained for each accelerator.
func (r Result) Attainment() float64 {
	return float64(r.Attained) / float64(max(r.Requests, 1)) / float64(r.Accelerators)
}

// OfBound returns the attained part of what a clairvoyant could have attained.
func (r Result) OfBound() float64 { return float64(r.Attained) / max(r.Bound, 1) }

// Moves returns loads and unloads together.
func (r Result) Moves() int { return r.Loads + r.Unloads }

// Table writes results for people, with ratios to the first result of each experiment.
func Table(w io.Writer, results []Result) {
	fmt.Fprintf(w, "%-12s %-28s %9s %9s %10s %9s %7s %8s %12s %10s %s\n", "experiment", "policy", "requests", "attained", "per accel.", "of bound", "moves", "refused", "unreachable", "breaches", "crowding p50/p95/p99")
	for _, r := range results {
		crowding := "-"
		if r.crowds != nil {
			crowding = fmt.Sprintf("%.2f/%.2f/%.2f", quantile(r, 50), quantile(r, 95), quantile(r, 99))
		}
		fmt.Fprintf(w, "%-12s %-28s %9d %8.1f%% %10.5f %9.3f %7d %8d %12s %10d %s\n", r.Experiment, r.Policy, r.Requests, 100*float64(r.Attained)/float64(max(r.Requests, 1)), r.Attainment(), r.OfBound(), r.Moves(), r.Refused, r.Unreachable, r.Breaches, crowding)
	}
}

func quantile(r Result, q float64) float64 { return float64(r.crowds.ValueAtQuantile(q)) / crowdScale }

// CSV writes results for programs.
func CSV(w io.Writer, results []Result) error {
	out := csv.NewWriter(w)
	_ = out.Write([]string{"experiment", "policy", "requests", "attained", "refused", "bound", "loads", "unloads", "unreachable_seconds", "breaches"})
	for _, r := range results {
		_ = out.Write([]string{r.Experiment, r.Policy, strconv.Itoa(r.Requests), strconv.Itoa(r.Attained), strconv.Itoa(r.Refused), strconv.FormatFloat(r.Bound, 'f', 0, 64), strconv.Itoa(r.Loads), strconv.Itoa(r.Unloads), strconv.FormatFloat(r.Unreachable.Seconds(), 'f', 2, 64), strconv.Itoa(r.Breaches)})
	}
	out.Flush()
	return out.Error()
}

// Plot draws the share attained over time for each policy as SVG.
func Plot(w io.Writer, results []Result) error {
	graph := chart.Chart{
		Title: "share of requests that met their target: " + results[0].Experiment,
		XAxis: chart.XAxis{Name: "seconds"},
		YAxis: chart.YAxis{Name: "share attained", Range: &chart.ContinuousRange{Min: 0, Max: 1}},
	}
	for _, r := range results {
		graph.Series = append(graph.Series, chart.ContinuousSeries{Name: r.Policy, XValues: r.Times, YValues: r.Shares})
	}
	graph.Elements = []chart.Renderable{chart.Legend(&graph)}
	return graph.Render(chart.SVG, w)
}

// FileName returns the name of an experiment's plot.
func FileName(experiment string) string { return strings.ReplaceAll(experiment, " ", "-") + ".svg" }
