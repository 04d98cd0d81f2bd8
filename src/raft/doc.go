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
//	  Ready(now) ◀───────────────────────  a write, messages, committed entries
//	  (begin the write; send the messages, apply the entries)
//	  Persisted(now, ready) ────────────▶  messages that waited for it, the own copy counts
//
// One write is under way at a time, and the core goes on meanwhile: storage beside the core, with its
// completion as an input, is chapter 10.2.1 of the dissertation. A message that tells a term, a vote or
// the acceptance of entries is held with the write that makes it durable.
package raft
