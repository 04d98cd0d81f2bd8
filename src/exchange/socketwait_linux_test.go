package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestARequestOnAnIdleConnectionCountsFromItsArrival: not from the answer before it, and not from the connection's start.
func TestARequestOnAnIdleConnectionCountsFromItsArrival(t *testing.T) {
	const idle, waited, tolerance = 600 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond
	is := is.New(t)
	client, server := dialPair(t)
	_, err := server.Write([]byte("answer"))
	is.NoErr(err)
	time.Sleep(idle)
	arrived := time.Now()
	_, err = client.Write([]byte("request"))
	is.NoErr(err)
	time.Sleep(waited)
	state := examineSocket(server)
	now := time.Now()
	is.True(!state.closed)
	is.True(now.Sub(state.arrivedAt(now)) >= waited-minSocketWait)
	is.True(now.Sub(state.arrivedAt(now)) <= now.Sub(arrived)+tolerance)
}

// TestWaitsOfRequestsThatCount: a client's time went on while its request waited, though not for as long as connections idle.
func TestWaitsOfRequestsThatCount(t *testing.T) {
	now := time.Now()
	for _, c := range []struct{ told, want time.Duration }{
		{100 * time.Millisecond, 100 * time.Millisecond},
		{8 * time.Second, 8 * time.Second},
		{time.Minute, 0},
	} {
		t.Run(c.told.String(), func(t *testing.T) {
			state := socketState{sinceArrival: c.told}
			is.New(t).Equal(now.Sub(state.arrivedAt(now)), c.want)
		})
	}
}
