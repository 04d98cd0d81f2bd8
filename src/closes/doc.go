// Package closes remembers the software whose servers were seen to end answers in order before their end, so
// that the close of a connection no longer counts as the end of a stream of theirs.
//
//	gateway ── software seen ──▶ control node ◀──▶ other control nodes
//	        ◀── all software ───────┘
//
// A Table can be merged with others in any order and any number of times with the same result. The package has
// no clock and no I/O; the present time is an argument.
package closes
