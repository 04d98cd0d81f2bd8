// Package placer decides which models and adapters each replica of an engine holds, and sends
// the replicas the load and unload orders for it. It runs on the leading control node only.
//
//	registrations, demand ──▶ Placer ──▶ rebalance.Plan ──▶ orders, one at a time per replica
//	                             │                               │
//	         holdings to gateways ◀──── ledger of each replica ◀─ answers, reports
//
// Every order carries the number of orders that the replica is believed to have accepted, so
// that a replica rejects an order that reaches it late, after a newer one. Whatever an unanswered
// order may have loaded counts as loaded until a report shows otherwise, so that the memory of a
// replica is never overcommitted.
package placer
