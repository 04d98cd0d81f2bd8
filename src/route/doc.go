// Package route chooses the backend server for one request from knowledge that
// is always a little old. A choice costs the same however many replicas there
// are: it weighs a small random sample.
//
//	planners' routes ──▶ Table (immutable, per model) ──▶ Pick ──▶ Host
//	answers' load headers, failures, own sends ───────▶ Host (atomic counters)
package route
