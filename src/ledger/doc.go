// Package ledger tracks the memory of each accelerator on which a planner can rely: what is
// resident, what was ordered and what is in doubt. Memory counts as used until a report or a
// fence proves that it is free.
package ledger
