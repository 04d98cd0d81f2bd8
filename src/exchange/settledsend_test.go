package exchange

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
)

// stopAsItSettles makes a gateway learn as a process that goes on, right before a request is sent, that it stops and has no
// time left for that.
func (b *bench) stopAsItSettles() {
	calls := 0
	b.handler.options.AwaitSettled = func(context.Context, time.Time) {
		if calls++; calls == 2 {
			b.handler.Stop()
			b.handler.RefuseBeyond(time.Now().Add(-time.Second), time.Now().Add(time.Second))
		}
	}
}

// TestARequestIsNotSentByAGatewayThatStoodStillUntilAfterItsMark: the signal to stop waited as the request was about to be sent.
func TestARequestIsNotSentByAGatewayThatStoodStillUntilAfterItsMark(t *testing.T) {
	is := is.New(t)
	r := route(catalog.Unsafe, 1)
	r.Timeout = 5 * time.Second
	replica := newReplica(t, "a", whole)
	b := newBench(t, r, replica)
	b.stopAsItSettles()
	is.Equal(b.do("POST", "one", "body").status, http.StatusServiceUnavailable)
	is.Equal(replica.count(), 0)
}

// TestARequestIsNotForwardedByAGatewayThatStoodStillUntilAfterItsMark: the same on the way to another gateway.
func TestARequestIsNotForwardedByAGatewayThatStoodStillUntilAfterItsMark(t *testing.T) {
	is := is.New(t)
	r := route(catalog.Unsafe, 1)
	r.Timeout = 5 * time.Second
	replica := newReplica(t, "a", whole)
	n := newForwardNet(t, r, 1, replica)
	n.loseLinks()
	n.stopAsItSettles()
	is.Equal(n.do("POST", "one", "body").status, http.StatusServiceUnavailable)
	is.Equal(n.taken(), 0)
	is.Equal(replica.count(), 0)
}
