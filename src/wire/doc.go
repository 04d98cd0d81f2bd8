// Package wire holds the messages between moorspool's own processes and the
// names of the methods that carry them.
package wire
