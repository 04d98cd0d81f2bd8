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

// windowLength is the time that one point of a plot covers.
const windowLength = 5 * time.Second

// windowCount holds the counts for one point of a plot.
type windowCount struct {
	requests int
	attained int
	start    time.Time
}

// add adds a point to the result and starts a new window when windowLength is over.
func (w *windowCount) add(b *bench) {
	if w.start.IsZero() {
		w.start = b.now
	}
	if b.now.Sub(w.start) < windowLength {
		return
	}
	share := 1.0
	if w.requests > 0 {
		share = float64(w.attained) / float64(w.requests)
	}
	b.result.Times = append(b.result.Times, b.now.Sub(b.start).Seconds())
	b.result.Shares = append(b.result.Shares, share)
	*w = windowCount{start: b.now}
}

// Result is the result of one simulation.
type Result struct {
	Experiment   string
	Policy       string
	Accelerators int
	Requests     int
	Attained     int
	Refused      int
	// Bound is an upper bound of the requests that could have met their target.
	Bound       float64
	Loads       int
	Unloads     int
	Breaches    int
	Unreachable time.Duration
	// Times and Shares are the points of the plot: the time in seconds and the share
	// of requests that met their target.
	Times       []float64
	Shares      []float64
	loadFactors *hdrhistogram.Histogram
}

// loadFactorScale keeps two decimal digits in the histogram of integers.
const loadFactorScale = 100

func (r *Result) recordLoadFactor(loadFactor float64) {
	if r.loadFactors == nil {
		r.loadFactors = hdrhistogram.New(1, 1_000_000, 3)
	}
	_ = r.loadFactors.RecordValue(int64(loadFactor * loadFactorScale))
}

// Attainment returns the share of requests that met their target, divided by the
// number of accelerators.
func (r Result) Attainment() float64 {
	return float64(r.Attained) / float64(max(r.Requests, 1)) / float64(r.Accelerators)
}

// OfBound returns the number of requests that met their target relative to Bound.
func (r Result) OfBound() float64 { return float64(r.Attained) / max(r.Bound, 1) }

// Moves returns the number of loads and unloads.
func (r Result) Moves() int { return r.Loads + r.Unloads }

// Table writes results as a text table.
func Table(w io.Writer, results []Result) {
	fmt.Fprintf(w, "%-12s %-28s %9s %9s %10s %9s %7s %8s %12s %10s %s\n", "experiment", "policy", "requests", "attained", "per accel.", "of bound", "moves", "refused", "unreachable", "breaches", "crowding p50/p95/p99")
	for _, r := range results {
		crowding := "-"
		if r.loadFactors != nil {
			crowding = fmt.Sprintf("%.2f/%.2f/%.2f", quantile(r, 50), quantile(r, 95), quantile(r, 99))
		}
		fmt.Fprintf(w, "%-12s %-28s %9d %8.1f%% %10.5f %9.3f %7d %8d %12s %10d %s\n", r.Experiment, r.Policy, r.Requests, 100*float64(r.Attained)/float64(max(r.Requests, 1)), r.Attainment(), r.OfBound(), r.Moves(), r.Refused, r.Unreachable, r.Breaches, crowding)
	}
}

func quantile(r Result, q float64) float64 {
	return float64(r.loadFactors.ValueAtQuantile(q)) / loadFactorScale
}

// CSV writes results as CSV.
func CSV(w io.Writer, results []Result) error {
	out := csv.NewWriter(w)
	_ = out.Write([]string{"experiment", "policy", "requests", "attained", "refused", "bound", "loads", "unloads", "unreachable_seconds", "breaches"})
	for _, r := range results {
		_ = out.Write([]string{r.Experiment, r.Policy, strconv.Itoa(r.Requests), strconv.Itoa(r.Attained), strconv.Itoa(r.Refused), strconv.FormatFloat(r.Bound, 'f', 0, 64), strconv.Itoa(r.Loads), strconv.Itoa(r.Unloads), strconv.FormatFloat(r.Unreachable.Seconds(), 'f', 2, 64), strconv.Itoa(r.Breaches)})
	}
	out.Flush()
	return out.Error()
}

// Plot draws, as SVG, the share of requests that met their target over time for
// each policy.
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

// FileName returns the file name of an experiment's plot.
func FileName(experiment string) string { return strings.ReplaceAll(experiment, " ", "-") + ".svg" }
