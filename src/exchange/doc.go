// Package exchange sends client requests to replicas and returns their responses. It selects a
// service by the route, chooses a replica, limits retries to what the route allows, passes bodies
// and event streams on unchanged, and ends every request with a response whose status states what
// is known of its execution.
//
//	client ──▶ Handler ──▶ Fleet.Pick ──▶ pool ──▶ replica
//	             │ route, info, deadline     │ connection
//	             ◀── response or refusal ◀───┘ outcome: answered, not run, unknown
//
// A Codec reads and writes the headers of clients and replicas, so that different interfaces can
// use the same handler.
package exchange
