// Package wakeup has a flag that wakes a goroutine which waits for news. Raised many
// times before it is noticed, it wakes once.
package wakeup
