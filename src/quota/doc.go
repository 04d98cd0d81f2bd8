// Package quota decides how much client accounts may use, over all gateways together. It
// has no clock, no network and no goroutines.
//
//	Divider (leading control node) ── rates on lease ──▶ Holder (each control node)
//	   │ what no holder has: Take                          │ Take
//	   ▼                                                   ▼
//	                         Grants (each gateway)
//
// A Divider leases shares of each account's rate to holders, in proportion to what is
// asked of them, and keeps the rest for the asks that a share does not cover. A Holder
// spends its shares without asking anybody, also while it is cut off, until they end. What
// either grants has to be spent within the grant's life.
//
// In any span of W seconds requests spend what was granted in the W seconds and one grant's
// life before: at most rate x (W + life), the account's burst, and what holders had saved.
// Terms.saved keeps that within the overage.
// Whoever divides begins with nothing saved, so this holds over any number of changes of
// the divider, as long as no two divide at one time.
package quota
