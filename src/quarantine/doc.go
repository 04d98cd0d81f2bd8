// Package quarantine keeps requests that end the replicas that run them away from further
// replicas, on all gateways together.
//
//	gateway ── ends under a content ──▶ control node ◀──▶ other control nodes
//	        ◀── contents under suspicion ──┘
//
// A content is what a request asks for, whatever its ID; its digest is all that is kept of it.
// The ends of replicas under a content add up until a run of it comes to a good end, which
// clears it. After Threshold ends it is quarantined: no gateway sends it any more. Tables merge
// in any order and any number of times to the same, so that each process may go on by itself
// while it is cut off.
package quarantine
