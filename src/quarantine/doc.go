// Package quarantine keeps requests that crash the replicas that run them away from further
// replicas, on all gateways together.
//
//	gateway ── failures with a content ──▶ control node ◀──▶ other control nodes
//	        ◀──── suspected contents ────────┘
//
// A content is what a request asks for, whatever its ID; only its digest is kept. A failure is the
// end of a replica that was running requests with the content. Failures add up until a request with
// the content completes, which clears it. After Threshold failures the content is quarantined: no
// gateway sends it any more. Tables can be merged in any order and any number of times with the
// same result, so that each process can go on by itself while it is disconnected.
package quarantine
