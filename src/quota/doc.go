// Package quota limits how much client accounts may use over all gateways. It has no clock, no
// network and no goroutines.
//
//	Allocator (leading control node) ── leased rates ──▶ Holder (each control node)
//	   │ unleased units: Take                               │ Take
//	   ▼                                                    ▼
//	                         Grants (each gateway)
//
// An Allocator leases shares of each account's rate to holders in proportion to their demand, and
// keeps the rest for requests that a share does not cover. A Holder spends its shares without
// asking anybody, even while it is disconnected, until the lease expires. Granted units have to be
// spent within the TTL of the grant.
//
// In any span of W seconds requests spend what was granted in the W seconds and one grant's TTL
// before: at most rate x (W + TTL), the account's burst, and the contents of the holders' buckets.
// Parameters.maxSaved keeps that within the overage. A new allocator starts with empty buckets, so
// the bound holds over any number of leader changes as long as no two allocators are active at
// once.
package quota
