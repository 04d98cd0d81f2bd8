// Package engine implements the protocol of the model engines: completions as
// server-sent events, orders with fencing, and status reports.
package engine
