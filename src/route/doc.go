// Package route chooses the backend server for a request based on slightly outdated load data. The
// cost of a choice does not depend on the number of replicas, because only a small random sample is
// compared.
//
//	planners' routes ──▶ Table (immutable, per model) ──▶ Pick ──▶ Host
//	load headers, failures, own requests ─────────────▶ Host (atomic counters)
package route
