// Package event holds the numbered events that record every decision, and the
// bounded ring that keeps the latest of them in each process.
package event
