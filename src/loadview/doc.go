// Package loadview lets every gateway see what all gateways together have sent to a
// replica. Replicas need not tell their load, and a gateway by itself sees only its
// own share of it: a seventh of a small installation, a sixtieth of a large one.
//
//	gateway ── report ──▶ control node of its zone ◀── sums ──▶ other control nodes
//	        ◀─ totals ──
//
// A gateway reports its requests under way by replica and is answered with the
// totals over all gateways. Control nodes tell each other the sums over the gateways
// that report to them. Nothing is stored; what is older than a second is left out.
package loadview
