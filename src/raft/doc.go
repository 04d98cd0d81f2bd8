// Package raft is moorspool's own consensus core. It is a pure state machine:
// messages and the present time go in, messages and writes come out; disk and
// network belong to the caller.
//
// The algorithm follows D. Ongaro and J. Ousterhout, "In Search of an
// Understandable Consensus Algorithm" (2014), with pre-vote, check-quorum and
// one-at-a-time membership changes of Ongaro's dissertation (2014, chapters 4,
// 6 and 9).
//
//	caller                                core
//	  Step(now, message) ───────────────▶  term, votes, log, progress
//	  Tick(now) ────────────────────────▶  elections, heartbeats, lease
//	  Propose(now, data) ───────────────▶  entry appended in memory
//	  Ready() ◀──────────────────────────  writes, messages, committed entries
//	  (write and sync the writes)
//	  Persisted(now, ready) ────────────▶  the leader counts its own copy
//	  (send the messages, apply the committed entries)
package raft
