package exchange

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/moorspool/moorspool/src/metric"
)

// Metrics are the counters and histograms of the handler.
type Metrics struct {
	Requests tally.Counter
	Refusals tally.Counter
	Retries  tally.Counter
	// Forwarded counts requests that another gateway took, ForwardedServed those that other gateways
	// forwarded to this one.
	Forwarded       tally.Counter
	ForwardedServed tally.Counter
	// Continued counts streams that were continued from a copy of their run.
	Continued tally.Counter
	// StreamsResumed counts streams that clients took up and that go on, StreamsNotResumed those that
	// can't.
	StreamsResumed    tally.Counter
	StreamsNotResumed tally.Counter
	// KeysRefused, QuotaExceeded and Undecided count requests that were not admitted.
	KeysRefused   tally.Counter
	QuotaExceeded tally.Counter
	Undecided     tally.Counter
	// Crashes counts reports of replica crashes with requests of this gateway in flight. A crash
	// counts again for each connection that is found broken after it was confirmed.
	Crashes tally.Counter
	// Quarantined counts requests that were refused because replicas crashed while running others
	// with the same content.
	Quarantined tally.Counter
	// Backoffs counts responses that asked this gateway for a backoff.
	Backoffs tally.Counter
	// BackoffRefusals counts requests that were refused because no replica that could run them
	// accepted requests.
	BackoffRefusals tally.Counter
	// ResponsesTooLong counts responses of backend servers that were cut off at a limit.
	ResponsesTooLong tally.Counter
	// UnprovenEnds counts responses whose end nothing but the close of the connection shows.
	UnprovenEnds unprovenCounters
	// ShortCloses counts closes in order by living servers that ended an answer before its end.
	ShortCloses tally.Counter
	// EndedEarly counts answers that were broken off, and those that tell that the request may have run.
	EndedEarly endCounters
	// UnderWayAtStop counts the requests under way at two times of a stop.
	UnderWayAtStop stopCounters
	// PermitsLost counts permit requests that no issuer answered.
	PermitsLost tally.Counter
	// PlaceWait records how long requests waited for a place, PlacesRefused counts those that got
	// none, and PlacesAlone how often this gateway began to queue by itself.
	PlaceWait     tally.Histogram
	PlacesRefused tally.Counter
	PlacesAlone   tally.Counter
	Latency       tally.Histogram
	// Pause records the longest pause between two events of each stream.
	Pause tally.Histogram
}

// NewMetrics registers the metrics of the handler.
func NewMetrics(registry *metric.Registry) *Metrics {
	return &Metrics{
		Requests: registry.Count("requests_total"),
		Refusals: registry.Count("refusals_total"),
		Retries:  registry.Count("retries_total"),

		Forwarded:       registry.Count("requests_forwarded_total"),
		ForwardedServed: registry.Count("forwarded_requests_served_total"),

		Continued:         registry.Count("streams_continued_total"),
		StreamsResumed:    registry.Count("streams_resumed_total"),
		StreamsNotResumed: registry.Count("streams_not_resumed_total"),

		KeysRefused:   registry.Count("keys_refused_total"),
		QuotaExceeded: registry.Count("quota_spent_total"),
		Undecided:     registry.Count("admissions_unsure_total"),

		Crashes:     registry.Count("replicas_ended_total"),
		Quarantined: registry.Count("quarantine_refusals_total"),

		Backoffs:        registry.Count("backoffs_asked_total"),
		BackoffRefusals: registry.Count("backoff_refusals_total"),
		PermitsLost:     registry.Count("cold_permits_lost_total"),

		ResponsesTooLong: registry.Count("responses_too_long_total"),
		UnprovenEnds:     newUnprovenCounters(registry),
		ShortCloses:      registry.Count("short_closes_total"),
		EndedEarly:       newEndCounters(registry),
		UnderWayAtStop:   newStopCounters(registry),

		PlaceWait:     registry.Latency("place_wait_seconds"),
		PlacesRefused: registry.Count("places_refused_total"),
		PlacesAlone:   registry.Count("places_alone_total"),

		Latency: registry.Latency("request_seconds"),
		Pause:   registry.Latency("stream_pause_seconds"),
	}
}

// budgets holds the retry budgets by service. It is safe for concurrent use.
type budgets struct {
	limits BudgetLimits
	mu     *sync.Mutex
	known  map[string]*Budget
}

func newBudgets(limits BudgetLimits) budgets {
	return budgets{limits: limits, mu: &sync.Mutex{}, known: map[string]*Budget{}}
}

func (b *budgets) get(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.known[service]
	if known == nil {
		known = NewBudget(b.limits)
		b.known[service] = known
	}
	return known
}
