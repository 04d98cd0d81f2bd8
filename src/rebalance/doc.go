// Package rebalance plans which models the servers of one service load and unload next. It
// compares the copies that each model should have with those that are ready or pending, and
// plans one move at a time: a copy on the server where it is ready soonest and displaces least.
//
//	wanted copies ──▶ highest gain first ──▶ cheapest server for each ──▶ moves
//	                                          │ load time, displaced work,
//	                                          └ work of the server, zones without a copy
//
// A planned move counts as a pending copy from then on, so that the next plan neither repeats it
// nor uses its room for another model. The package keeps no state and sends no orders: a plan
// depends on its input alone.
package rebalance
