// Package schedule orders the requests of one engine service while its replicas have no room for
// all of them. It has no clock, no network and no goroutines.
//
//	Submit ──▶ queue ──▶ Result with a replica, or a refusal with the time to come back
//	             ▲
//	SetReplica, Release, Advance
//
// # Order
//
// A request is due at the latest start for its target, and somewhat later the lower its priority is.
// The request that is due first gets the next free slot. What an account asks for beyond its max-min
// fair share counts as due later by the time for which the account is ahead of others. A slot in
// twelve is left to more urgent requests until a request has used a quarter of its slack. No request
// is taken off a replica.
//
// # Refusals
//
// A request that is not expected to start in time is refused at once, unless it is in time when less
// urgent requests that wait are displaced. Refused clients are told to return one after the other;
// those that do go before newcomers of their kind, those that return earlier only get room that
// nobody waits for.
//
// # Bound of the wait
//
// A request may start at the latest at T for its target and at D for its deadline. It is due at
// M = T + (D-T)/2 at the latest: what makes it due later is cut there, and what has missed its target
// is due at M. Every request is due when it is submitted or later, so that nothing submitted after M
// goes before it. What has missed its target is not displaced by others. So it starts when the
// requests that are due before M have started, or it is refused as soon as these need until after D.
package schedule
