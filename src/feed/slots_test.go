package feed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestConcurrentSendsAreBounded checks that there are only so many slots, and that a released one
// can be acquired again.
func TestConcurrentSendsAreBounded(t *testing.T) {
	is := is.New(t)
	slots := newSendSlots()
	for range maxConcurrentSends {
		is.True(slots.acquire(time.Hour))
	}
	is.True(!slots.acquire(time.Millisecond)) // the caller proceeds without a slot
	slots.release()
	is.True(slots.acquire(time.Hour))
}
