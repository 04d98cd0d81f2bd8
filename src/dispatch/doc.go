// Package dispatch assigns requests to replicas where there are few replicas compared with the
// gateways that send to them. A gateway that sees one request in a hundred knows nothing of a
// replica's queue, and if all gateways fill that queue every answer is late.
//
// A Dispatcher holds the requests of a service that can't start yet in one queue, and assigns a
// request to a replica only when the replica has a free slot. It refuses at once what could not be
// answered in time. Queued requests of higher priority go first, then those of the client account
// with the fewest running requests (max-min fairness), then the oldest. It has no clock, no network
// and no goroutines.
package dispatch
