// Package policy compares placement and routing policies by simulation. It runs the
// production code of the decisions (planner.Zone, place, route) against simple fake
// engines in one goroutine, on virtual time and with seeded randomness, so that the
// same experiment always gives the same output.
//
//	demand (seeded) ──▶ router of each zone ──▶ fake engines ──▶ attained or not
//	                         ▲ routes, lagged loads     ▲ orders
//	                         └──── planner.Zone ────────┘
package policy
