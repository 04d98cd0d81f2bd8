// Package raft implements the Raft consensus algorithm for the control nodes. Core is a pure state
// machine: it takes messages and the current time, and returns messages to send and data to write.
// The caller does all disk and network I/O.
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
//	  (start the write; send the messages, apply the entries)
//	  Persisted(now, ready) ────────────▶  messages that waited for the write, the local copy counts
//
// Only one write is in flight at a time, and the core keeps working meanwhile: the disk runs in parallel
// and its completion is an input (chapter 10.2.1 of the dissertation). A message that reports a term, a
// vote or accepted entries is held until the write that makes them durable has completed.
package raft
