package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/wire"
)

// TestALeaderThatStoodStillReadsAndAcknowledgesNothingOld looks at a leader that goes on, before it has read what waited
// for it.
func TestALeaderThatStoodStillReadsAndAcknowledgesNothingOld(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, time.Second, 4 * time.Second} {
		is := is.New(t)
		s := newSim(t, 7, "a", "b", "c")
		accepted := uint64(0)
		put := func(version uint64) {
			s.submit(func(*Replica) command {
				return command{At: s.now, Document: &documentCommand{Version: version, Packed: []byte("d")}}
			}, func(r result) {
				if r.outcome == wire.Accepted {
					accepted = max(accepted, version)
				}
			})
		}
		s.run(2 * time.Second)
		first := s.leader()
		put(1)
		s.run(200 * time.Millisecond)
		is.Equal(accepted, uint64(1))
		goesOn := s.now.Add(pause)
		first.frozenUntil = goesOn
		for version := uint64(2); s.now.Add(100 * time.Millisecond).Before(goesOn); version++ {
			if s.leader() != first {
				put(version)
			}
			s.run(50 * time.Millisecond)
		}
		s.now = goesOn
		now, r := s.clock(first), first.replica
		replaced := accepted > 1
		is.Equal(replaced, pause > 300*time.Millisecond)
		is.Equal(r.core.HasReadLease(now), !replaced)
		is.Equal(viewOf(r, now).hasReadLease(now), !replaced)
		is.Equal(r.zoneInState(now, &wire.ZoneOrder{Zone: "z"}), !replaced) // an order is acknowledged without an entry
		outcomes := make([]wire.Outcome, 0, 1)
		data, err := command{At: now, Document: &documentCommand{Version: 99, Packed: []byte("e")}}.encode()
		is.NoErr(err)
		r.Propose(now, data, func(got result, err error) {
			if err == nil {
				outcomes = append(outcomes, got.outcome)
			}
		})
		s.run(3 * time.Second)
		is.Equal(len(outcomes) == 1 && outcomes[0] == wire.Accepted, !replaced)
		is.Equal(s.leader().replica.state.document.Version == 99, !replaced)
	}
}
