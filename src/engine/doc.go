// Package engine is the one place that speaks the model engines' protocol:
// completions as server-sent events, fenced orders, and reports.
package engine
