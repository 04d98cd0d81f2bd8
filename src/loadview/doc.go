// Package loadview gives every gateway a view of the requests that all gateways together have sent
// to each replica. Replicas need not report their load, and a gateway alone sees only its own share
// of it: a seventh in a small installation, a sixtieth in a large one.
//
//	gateway ── report ──▶ control node of its zone ◀── sums ──▶ other control nodes
//	        ◀─ totals ──
//
// A gateway reports its requests under way per replica and receives the totals over all gateways.
// Control nodes exchange the sums over the gateways that report to them. Nothing is stored; reports
// older than a second are ignored.
package loadview
