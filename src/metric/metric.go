package metric

import (
	"bytes"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// flushInterval is how often tally passes its values to the Prometheus reporter.
const flushInterval = time.Second

// Registry holds the metrics of a process; it is safe for concurrent use.
type Registry struct {
	scope    tally.Scope
	gatherer promclient.Gatherer
}

// latencyBuckets range from a millisecond to half a minute.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.6, 23)

// New returns the registry of a process with a role, which is part of the metrics' names.
func New(role string) *Registry {
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "moorspool_" + role,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, flushInterval)
	return &Registry{scope: scope, gatherer: registry}
}

// Count returns the counter with a name.
func (r *Registry) Count(name string) tally.Counter { return r.scope.Counter(name) }

// Gauge sets the gauge with a name.
func (r *Registry) Gauge(name string, value float64) { r.scope.Gauge(name).Update(value) }

// GaugeOf sets the gauge with a name and one label.
func (r *Registry) GaugeOf(name, label, labelValue string, value float64) {
	r.scope.Tagged(map[string]string{label: labelValue}).Gauge(name).Update(value)
}

// CountOf returns the counter with a name and one label.
func (r *Registry) CountOf(name, label, labelValue string) tally.Counter {
	return r.scope.Tagged(map[string]string{label: labelValue}).Counter(name)
}

// Latency returns the histogram of durations with a name.
func (r *Registry) Latency(name string) tally.Histogram {
	return r.scope.Histogram(name, latencyBuckets)
}

// Encoder returns a function that writes all metrics in the Prometheus text format.
func (r *Registry) Encoder() func() []byte {
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
