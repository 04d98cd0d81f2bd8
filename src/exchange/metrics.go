package exchange

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/moorspool/moorspool/src/metric"
)

// Metrics are the handler's counters and histograms.
type Metrics struct {
	Requests tally.Counter
	Refusals tally.Counter
	Retries  tally.Counter
	// Continued counts streams that went on from a copy of their run.
	Continued tally.Counter
	// KeysRefused, QuotaSpent and Unsure count requests that were not admitted.
	KeysRefused tally.Counter
	QuotaSpent  tally.Counter
	Unsure      tally.Counter
	// Endings counts what was told of ends of replicas under requests of this gateway: one end
	// counts again where a connection was seen to break after it was proved.
	Endings tally.Counter
	// Quarantined counts the requests that were refused because replicas ended under others
	// with the same content.
	Quarantined tally.Counter
	// Backoffs counts the answers by which replicas asked this gateway to send nothing for a time.
	Backoffs tally.Counter
	// BackoffRefusals counts the requests that were refused because all replicas that could run
	// them had asked for that.
	BackoffRefusals tally.Counter
	// PermitsLost counts the asks for permits for cold replicas that nobody answered.
	PermitsLost tally.Counter
	Latency     tally.Histogram
	// Pause holds the longest pause between two events of each stream.
	Pause tally.Histogram
}

// NewMetrics registers the handler's metrics.
func NewMetrics(registry *metric.Registry) *Metrics {
	return &Metrics{
		Requests: registry.Count("requests_total"),
		Refusals: registry.Count("refusals_total"),
		Retries:  registry.Count("retries_total"),

		Continued:   registry.Count("streams_continued_total"),
		KeysRefused: registry.Count("keys_refused_total"),
		QuotaSpent:  registry.Count("quota_spent_total"),
		Unsure:      registry.Count("admissions_unsure_total"),

		Endings:     registry.Count("replicas_ended_total"),
		Quarantined: registry.Count("quarantine_refusals_total"),

		Backoffs:        registry.Count("backoffs_asked_total"),
		BackoffRefusals: registry.Count("backoff_refusals_total"),
		PermitsLost:     registry.Count("cold_permits_lost_total"),

		Latency: registry.Latency("request_seconds"),
		Pause:   registry.Latency("stream_pause_seconds"),
	}
}

// budgets are the retry budgets by service; they are safe for concurrent use.
type budgets struct {
	limits BudgetLimits
	mu     *sync.Mutex
	known  map[string]*Budget
}

func newBudgets(limits BudgetLimits) budgets {
	return budgets{limits: limits, mu: &sync.Mutex{}, known: map[string]*Budget{}}
}

func (b *budgets) of(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.known[service]
	if known == nil {
		known = NewBudget(b.limits)
		b.known[service] = known
	}
	return known
}
