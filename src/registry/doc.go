// Package registry tracks the replicas: which ones run, where, which models they hold, and which of
// them are leaving. A Table holds what replicas reported to one control node; a Directory merges
// the tables of several nodes. Neither reads a clock: the current time is an argument.
package registry
