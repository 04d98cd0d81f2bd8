// Package policy is the policy bench: the real deciding functions (planner.Zone,
// place, route) against small fake engines, in one goroutine, on virtual time,
// from a seed. The same experiment gives the same bytes.
//
//	demand (seeded) ──▶ router of each zone ──▶ fake engines ──▶ attained or not
//	                         ▲ routes, lagged loads     ▲ orders
//	                         └──── planner.Zone ────────┘
package policy
