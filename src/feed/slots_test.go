package feed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFewAreToldAtOnce: a place is given to as many as there are, and to the next one once
// one of them is done.
func TestFewAreToldAtOnce(t *testing.T) {
	is := is.New(t)
	slots := newSendSlots()
	for range sendsAtOnce {
		is.True(slots.take(time.Hour))
	}
	is.True(!slots.take(time.Millisecond)) // who waited in vain goes on without one
	slots.release()
	is.True(slots.take(time.Hour))
}
