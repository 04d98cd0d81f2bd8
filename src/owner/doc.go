// Package owner gives requests their places at replicas that are short of room. The requests of a
// model wait in one queue over all gateways. It is kept by the owner of the model: the control node
// that a rendezvous hash selects among those in reach.
//
//	gateway ──▶ nearest control node ──▶ owner of the model
//	             Router                   Router, Queues
//
// The order of a queue is that of package schedule. A queue without its owner costs order only: the
// node that asked in vain, and in its absence the gateway, keeps a queue of its own meanwhile.
package owner
