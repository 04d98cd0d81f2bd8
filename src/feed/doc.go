// Package feed spreads what control nodes know to gateways and to each other:
// the version of the configuration, the replicas, the control nodes' addresses.
//
//	replica ──▶ control node ──▶ every control node ──▶ the gateways of its zone
//	              Publisher        Follower, Relay        Follower
//
// A Publisher tells the control nodes what replicas told this one. A control node's
// Follower follows all of them and merges what they say; its Relay passes the merged
// view on to gateways. A gateway's Follower follows one control node of its own
// availability zone, and another one beside it while that is silent, cut off from the
// others or behind them.
package feed
