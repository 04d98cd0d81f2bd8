package emulator

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/moorspool/moorspool/src/config"
)

// outcomeKind classifies the result of an attempt.
type outcomeKind int

const (
	complete outcomeKind = iota
	refusedNotRun
	refusedUnknown
	brokenOff
	lost
	mixed
)

// outcome is the result of one attempt as the client sees it.
type outcome struct {
	kind       outcomeKind
	reason     string
	tokens     int
	first      time.Duration
	between    time.Duration
	longestGap time.Duration
	unstreamed bool
	once       bool
}

// Range and precision of the histograms: one microsecond to a minute, three digits.
const (
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Tally counts outcomes. It is safe for concurrent use.
type Tally struct {
	target config.Target
	mu     sync.Mutex
	counts Counts
	first  *hdrhistogram.Histogram
	gaps   *hdrhistogram.Histogram
	// notRun holds the attempts whose refusal said that they did not run.
	notRun  map[string]bool
	reasons map[string]int
}

// Counts are the results as clients saw them.
type Counts struct {
	Requests int
	Complete int
	Attained int
	// RefusedNotRun counts requests whose last attempt was refused as not run.
	RefusedNotRun int
	// NotRunAnswers counts all attempts that were refused as not run.
	NotRunAnswers  int
	RefusedUnknown int
	// BrokenOff counts streams that ended early with a stated reason.
	BrokenOff int
	Lost      int
	Mixed     int
}

// NewTally returns an empty tally.
func NewTally(target config.Target) *Tally {
	return &Tally{
		target:  target,
		first:   hdrhistogram.New(1, histogramMax, histogramDigits),
		gaps:    hdrhistogram.New(1, histogramMax, histogramDigits),
		notRun:  map[string]bool{},
		reasons: map[string]int{},
	}
}

// add records the outcome of one attempt.
func (t *Tally) add(id string, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o.kind != complete {
		t.reasons[shortenReason(o.reason)]++
	}
	if o.kind == refusedNotRun {
		t.counts.NotRunAnswers++
		t.notRun[id] = true
	}
}

func shortenReason(reason string) string {
	if at := strings.Index(reason, `,"request"`); at >= 0 {
		reason = reason[:at]
	}
	return reason[:min(len(reason), 200)]
}

// finish records the outcome of a request's last attempt.
func (t *Tally) finish(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Requests++
	switch o.kind {
	case complete:
		t.counts.Complete++
		_ = t.first.RecordValue(min(o.first.Microseconds(), histogramMax))
		if o.tokens > 1 {
			_ = t.gaps.RecordValue(min((o.between / time.Duration(o.tokens-1)).Microseconds(), histogramMax))
		}
		if t.attained(o) {
			t.counts.Attained++
		}
	case refusedNotRun:
		t.counts.RefusedNotRun++
	case refusedUnknown:
		t.counts.RefusedUnknown++
	case brokenOff:
		t.counts.BrokenOff++
	case lost:
		t.counts.Lost++
	case mixed:
		t.counts.Mixed++
	}
}

// attained reports whether an answer met the latency target. An answer that is not streamed has no
// first token; it may take as long as a whole stream.
func (t *Tally) attained(o outcome) bool {
	first, between := t.target.FirstToken.Std(), t.target.BetweenTokens.Std()
	if o.unstreamed {
		return o.first <= first+between*defaultTokens
	}
	if o.first > first {
		return false
	}
	return o.tokens < 2 || o.between/time.Duration(o.tokens-1) <= between
}

// Result is the result of an experiment.
type Result struct {
	Counts
	AttainmentPerAccelerator float64
	Loads                    int
	Unloads                  int
	FalseNotRun              int
	DoubledOnce              int
	Breaches                 int
	Late                     int
	Unreachable              int
	FirstToken               [3]time.Duration
	Between                  [3]time.Duration
	Reasons                  []string
}

func (t *Tally) result(all []Stats, emulators, accelerators int) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Result{Counts: t.counts, Unreachable: emulators - len(all)}
	if t.counts.Requests > 0 && accelerators > 0 {
		r.AttainmentPerAccelerator = float64(t.counts.Attained) / float64(t.counts.Requests) / float64(accelerators)
	}
	keys := map[string]int{}
	for _, stats := range all {
		r.Breaches += stats.Breaches
		r.Late += stats.Late
		if stats.Host != "store" {
			r.Loads += stats.Loads
			r.Unloads += stats.Unloads
		}
		for _, run := range stats.Runs {
			if t.notRun[run.ID] {
				r.FalseNotRun++
			}
		}
		for _, key := range stats.Keys {
			keys[key.ID] += key.Count
		}
	}
	for _, count := range keys {
		if count > 1 {
			r.DoubledOnce++
		}
	}
	r.FirstToken = quantiles(t.first)
	r.Between = quantiles(t.gaps)
	for reason, count := range t.reasons {
		r.Reasons = append(r.Reasons, fmt.Sprintf("%6d  %s", count, reason))
	}
	sort.Sort(sort.Reverse(sort.StringSlice(r.Reasons)))
	return r
}

func quantiles(h *hdrhistogram.Histogram) [3]time.Duration {
	var q [3]time.Duration
	for i, at := range []float64{50, 95, 99} {
		q[i] = time.Duration(h.ValueAtQuantile(at)) * time.Microsecond
	}
	return q
}

// Violations lists the checks that failed, with counts.
func (r Result) Violations() []string {
	var violations []string
	check := func(count int, what string) {
		if count > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", count, what))
		}
	}
	check(r.Lost, "lost answers")
	check(r.Mixed, "mixed answers")
	check(r.FalseNotRun, "requests refused as not run that ran")
	check(r.DoubledOnce, "not-to-be-repeated calls that ran twice")
	check(r.Breaches, "memory overcommitments")
	check(r.Late, "requests to a host that had been leaving for 3 s")
	check(r.Unreachable, "emulators that could not be asked what they saw")
	return violations
}

// Table formats the result as a table.
func (r Result) Table() string {
	var b strings.Builder
	line := func(name string, value any) { fmt.Fprintf(&b, "%-44s %v\n", name, value) }
	line("requests", r.Requests)
	line("whole answers", r.Complete)
	line("attained", fmt.Sprintf("%d (%.1f %%)", r.Attained, 100*float64(r.Attained)/float64(max(r.Requests, 1))))
	line("attainment per accelerator", fmt.Sprintf("%.4f", r.AttainmentPerAccelerator))
	line("moves (loads + unloads)", fmt.Sprintf("%d + %d", r.Loads, r.Unloads))
	line("refused as not run, in the end", r.RefusedNotRun)
	line("refused as not run, asked again", r.NotRunAnswers-r.RefusedNotRun)
	line("  of these ran after all", r.FalseNotRun)
	line("refused, outcome unknown", r.RefusedUnknown)
	line("broken off with a reason", r.BrokenOff)
	line("lost answers", r.Lost)
	line("mixed answers", r.Mixed)
	line("not-to-be-repeated calls that ran twice", r.DoubledOnce)
	line("memory overcommitments seen by engines", r.Breaches)
	line("requests to a host leaving for over 3 s", r.Late)
	line("first token p50 / p95 / p99", fmt.Sprint(r.FirstToken))
	line("between tokens p50 / p95 / p99", fmt.Sprint(r.Between))
	for _, reason := range r.Reasons {
		line("answers other than whole", reason)
	}
	return b.String()
}
