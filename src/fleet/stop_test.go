package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestARequestSentBeforeALateSignalsMarkIsNotTaken: a stop counted its times from when the process learned of the
// signal, and cut off at its limit what was sent after those that its operator counts.
func TestARequestSentBeforeALateSignalsMarkIsNotTaken(t *testing.T) {
	is := is.New(t)
	sent := time.Now()
	const lag = 3 * time.Second
	for _, delay := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond} {
		is.True(!sendMark(sent.Add(delay), lag).After(sent.Add(lag)))
	}
	is.Equal(sendMark(sent, 0), sent)
	is.Equal(sendMark(sent, signalDelay/2), sent)
}
