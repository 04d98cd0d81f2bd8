// Package wakeup provides a flag that wakes a waiting goroutine. Raising it several times before it is
// received wakes the goroutine once.
package wakeup
