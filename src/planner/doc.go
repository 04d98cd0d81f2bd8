// Package planner places models on the accelerators of one availability zone. Zone makes the
// decisions, with the current time as an argument. Runner polls engines, sends orders and renews
// the zone's authority. Publisher sends routes to gateways.
//
//	platform list ─┐
//	engine reports ├─▶ Zone ──Step──▶ orders ──▶ Runner ──▶ engines
//	demand counts ─┤     │                          │
//	configuration ─┘     └─ routes ─▶ Publisher     └─ answer or timeout ─▶ ledger
package planner
