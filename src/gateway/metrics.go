package gateway

import (
	"github.com/uber-go/tally/v4"

	"github.com/moorspool/moorspool/src/metric"
)

// serverMetrics are a gateway's metrics of client requests.
type serverMetrics struct {
	finished      tally.Counter
	refused       tally.Counter
	retried       tally.Counter
	resumed       tally.Counter
	attained      tally.Counter
	firstToken    tally.Histogram
	tokenInterval tally.Histogram
	queued        tally.Histogram
}

func newServerMetrics(registry *metric.Registry) serverMetrics {
	return serverMetrics{
		finished:      registry.Count("requests_finished_total"),
		refused:       registry.Count("requests_refused_total"),
		retried:       registry.Count("requests_retried_total"),
		resumed:       registry.Count("streams_resumed_total"),
		attained:      registry.Count("requests_attained_total"),
		firstToken:    registry.Latency("first_token_seconds"),
		tokenInterval: registry.Latency("between_tokens_seconds"),
		queued:        registry.Latency("queue_wait_seconds"),
	}
}
