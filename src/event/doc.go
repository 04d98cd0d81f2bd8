// Package event defines the numbered events that record each decision, and the ring buffer that
// keeps the latest ones of a process.
package event
