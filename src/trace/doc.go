// Package trace records a span for each hop of a request and propagates the trace context in the
// W3C traceparent header. Without a trace file it only propagates the context.
package trace
