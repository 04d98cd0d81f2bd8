// Package resume decides where a stream that broke off may go on.
//
// Backend servers of one service may run several versions of their software at a time. What two
// versions write does not fit together, so a stream may go on only at the version that wrote its
// first event:
//
//	Software ──▶ Origin ──▶ Binding ──▶ may this replica go on with the stream?
//	(replica)    (first     (one answer)
//	              event)  └▶ Table ──▶ Binding of the next answer, at any gateway
//
// A Binding belongs to one answer. Over a client's tries the origin is found under the Key of the
// client attempt that brought the first event, in the Table of a gateway or a control node. Where
// nothing is known, or reports disagree, a stream does not go on. The package has no clock and no
// I/O; the present time is an argument.
package resume
