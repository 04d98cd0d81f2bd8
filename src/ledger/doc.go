// Package ledger keeps account of each accelerator's memory as its planner may
// count on it: what is resident, what was ordered, and what is in doubt. Memory
// counts as taken until a report or a fence proves that it is free.
package ledger
