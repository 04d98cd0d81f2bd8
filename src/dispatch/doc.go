// Package dispatch assigns requests to the places of replicas that are few beside the
// gateways which send to them: a gateway that sees one request in a hundred knows nothing
// of a queue, and a replica's queue that all of them fill makes every answer late.
//
// A Dispatcher holds what can't begin at once, in one queue for a service, and lets a
// request go to a replica only when that has a place. It refuses at once what could not
// be answered in time. Of what waits, more urgent requests go first, then those of the
// client account that has the fewest at work (max-min fairness), then the oldest. It has no
// clock, no network and no goroutines.
package dispatch
