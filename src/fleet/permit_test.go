package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/ratelimit"
	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
)

// TestAShareIsIssuedOnceTheLeaderIsLost checks that the time counts from the first request without
// a response.
func TestAShareIsIssuedOnceTheLeaderIsLost(t *testing.T) {
	is := is.New(t)
	var p permits
	now := time.Unix(1_800_000_000, 0)
	is.True(!p.leaderLost(now))
	is.True(!p.leaderLost(now.Add(leaderLostAfter - 1)))
	is.True(p.leaderLost(now.Add(leaderLostAfter)))
	p.lostSince.Store(0) // a leader has responded
	is.True(!p.leaderLost(now.Add(time.Minute)))
}

// TestLimitsReceivedWithoutALeaderAreSharedOnce checks that only limits from a replica's response
// are shared.
func TestLimitsReceivedWithoutALeaderAreSharedOnce(t *testing.T) {
	is := is.New(t)
	p := permits{changed: wakeup.New(), pending: map[string]ratelimit.State{}}
	p.addPending(wire.PermitRequest{Replica: "known", Limited: true, PerSecond: 2})
	p.addPending(wire.PermitRequest{Replica: "ended", FromResponse: true})
	is.Equal(len(p.drainPending()), 0)
	p.addPending(wire.PermitRequest{Replica: "r", Limited: true, PerSecond: 2, FromResponse: true})
	is.Equal(p.drainPending(), []ratelimit.ServerLimit{{Server: "r", State: ratelimit.State{Limited: true, PerSecond: 2}}})
	is.Equal(len(p.drainPending()), 0)
}
