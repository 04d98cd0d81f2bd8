// Package trace makes a span for each hop of a request and carries their
// context in the W3C traceparent header. Without a file it only passes the
// context on.
package trace
