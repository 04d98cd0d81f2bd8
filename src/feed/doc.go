// Package feed distributes the state that control nodes hold to gateways and to each other: the
// configuration's version, the replicas and the control nodes' addresses.
//
//	replica ──▶ control node ──▶ every control node ──▶ the gateways of its zone
//	              Publisher        Follower, Relay        Follower
//
// A Publisher streams what replicas reported to its control node to all control nodes. A control
// node's Follower subscribes to all of them and merges their updates; its Relay passes the merged
// view on to gateways. A gateway's Follower subscribes to one control node of its own availability
// zone, and to another one as well while that one is silent, cut off from the others or behind
// them.
package feed
