// Package rebalance decides which models the servers of one service load and
// unload next. It compares the copies that each model should have with those
// that it has, is getting, or has room made for, and moves one copy at a time to
// the place where it serves soonest and displaces least.
//
//	wanted copies ──▶ deficits, worst first ──▶ best server for each ──▶ moves
//	                                             │ load time, work displaced,
//	                                             └ work there, zones without a copy
//
// A decided move counts as a copy from then on, so that the next plan neither
// repeats it nor gives its room away. The package keeps no state and orders
// nothing; the present copies and times are arguments.
package rebalance
