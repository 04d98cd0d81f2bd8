// Package quarantine keeps requests that crash the replicas that run them away from further
// replicas, on all gateways together.
//
//	gateway ── failures with a content or part ──▶ control node ◀──▶ other control nodes
//	        ◀──── suspected contents and parts ─────┘
//
// A content is what a request asks for, whatever its ID; only its digest is kept. A part is a piece of
// a prompt that other requests may share, known by its ID. A failure is the end of a replica that was
// running requests with the content or part. Failures add up until a request with it completes, which
// clears it. After Threshold failures a content is quarantined: no gateway sends it any more. So is a
// part, unless its failures are attributed to another part or to a content. When the hold is over,
// single requests are sent on trial.
//
// Tables can be merged in any order and any number of times with the same result, so that each process
// can go on by itself while it is disconnected.
package quarantine
