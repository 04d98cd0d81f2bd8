// Package endproof decides, by what was observed, whether the close of a connection may end a stream whose response
// has neither a length nor chunks.
//
//	run ends by a close ──▶ Decide ──▶ PassOn: the stream ends as its server framed it
//	                          ▲   └──▶ Check: another run is asked, else the stream breaks off
//	                          │           │
//	                          └─ Record ◀─┘ Whole, WeaklyWhole, Short or BrokenOff
//
// Counted per software, which is a version at a service: closes that a check chosen before its result was known has shown
// to be the end (Whole), and those after which a later run went on (Short). A stream that has all tokens that were asked for
// is whole, but is not counted: a stream that broke off never has them, so such a check can't come out the other way.
// A close that only another close confirms is WeaklyWhole; a Rule says whether it counts.
//
// A close passes once a Rule's confirmations are reached without a Short. One Short withdraws that for the software, as does
// a framed response that a server closed before its end; another version begins with nothing, and so does a process that
// has just started. Whether the server's process ended with the run is for the caller to ask first. For closes that are short with a constant
// share, independently of each other and of whether the stream may be taken up, a stream then ends short with a chance of
// at most ShortShareBound. No count bounds what happens after a change: of the closes that are short from then on, UntilSeen
// end streams before one is checked. And streams of which every run at every server ends after the same event look like
// whole ones to WeaklyWhole, in any number.
//
// No process uses it: docs/design/close-evidence.md says why. The package has no clock and no I/O; the present time is an argument.
package endproof
