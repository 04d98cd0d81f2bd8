package metric

import (
	"bytes"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// flushEvery is how often tally hands its values to the reporter.
const flushEvery = time.Second

// Registry is a process's metrics; it is safe for concurrent use.
type Registry struct {
	scope    tally.Scope
	gatherer promclient.Gatherer
}

// latencyBuckets cover a request's times from a millisecond to half a minute.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.6, 23)

// New returns the registry of a process of a role.
func New(role string) *Registry {
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "moorspool_" + role,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, flushEvery)
	return &Registry{scope: scope, gatherer: registry}
}

// Count returns a counter.
func (r *Registry) Count(name string) tally.Counter { return r.scope.Counter(name) }

// Gauge sets a gauge.
func (r *Registry) Gauge(name string, value float64) { r.scope.Gauge(name).Update(value) }

// GaugeOf sets the gauge of one value of a label.
func (r *Registry) GaugeOf(name, label, of string, value float64) {
	r.scope.Tagged(map[string]string{label: of}).Gauge(name).Update(value)
}

// CountOf returns the counter of one value of a label.
func (r *Registry) CountOf(name, label, of string) tally.Counter {
	return r.scope.Tagged(map[string]string{label: of}).Counter(name)
}

// Latency returns a histogram of durations.
func (r *Registry) Latency(name string) tally.Histogram {
	return r.scope.Histogram(name, latencyBuckets)
}

// Handler returns a function that writes all metrics in the Prometheus text format.
func (r *Registry) Handler() func() []byte {
	return func() []byte {
		families, err := r.gatherer.Gather()
		if err != nil {
			return []byte("# " + err.Error() + "\n")
		}
		var out bytes.Buffer
		for _, family := range families {
			if _, err := expfmt.MetricFamilyToText(&out, family); err != nil {
				return []byte("# " + err.Error() + "\n")
			}
		}
		return out.Bytes()
	}
}
