package feed

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/fault"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// startingGateway is a gateway in availability zone z that knows control nodes and reaches
// none of them; its time is the test's.
func startingGateway(t *testing.T, members ...wire.Member) *Follower {
	t.Helper()
	cut := &fault.Cut{}
	cut.Set([]string{"192.0.2."})
	f := NewFollower(Options{Node: "g", Zone: "z", Gateway: true}, (&seen{}).sink(), &rpc.Meter{}, cut, nil, time.Now)
	f.context = t.Context()
	f.add(members)
	return f
}

// followed returns the addresses that are followed.
func (f *Follower) followed() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := map[string]bool{}
	for address, s := range f.sources {
		if s.stop != nil {
			list[address] = true
		}
	}
	return list
}

// set changes what the gateway knows of the sources that it follows.
func (f *Follower) set(change func(s *source)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sources {
		if s.stop != nil {
			change(s)
		}
	}
}

func (f *Follower) reconsiderAt(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reconsider(now)
}

var fiveNodes = []wire.Member{
	{Address: "192.0.2.1:1"}, {Address: "192.0.2.2:1"}, {Address: "192.0.2.3:1"}, {Address: "192.0.2.4:1"}, {Address: "192.0.2.5:1"},
}

// TestAStartingGatewayAsksOneControlNodeAfterTheOther: after a loss of all power every
// gateway followed every control node at once, and these were busy with streams in place
// of electing a leader.
func TestAStartingGatewayAsksOneControlNodeAfterTheOther(t *testing.T) {
	is := is.New(t)
	f := startingGateway(t, fiveNodes...)
	now := time.Unix(1_800_000_000, 0)
	for i := 1; i <= len(fiveNodes); i++ {
		f.reconsiderAt(now)
		is.Equal(len(f.followed()), i)
		f.reconsiderAt(now.Add(nextAfter - 1))
		is.Equal(len(f.followed()), i)
		now = now.Add(nextAfter)
	}
}

// TestOneThatCannotBeReachedIsPassedOverAtOnce: only slow ones are waited for.
func TestOneThatCannotBeReachedIsPassedOverAtOnce(t *testing.T) {
	is := is.New(t)
	f := startingGateway(t, fiveNodes...)
	now := time.Unix(1_800_000_000, 0)
	f.now = func() time.Time { return now }
	f.reconsiderAt(now)
	for address := range f.followed() {
		f.noteTry(f.sources[address], rpc.ErrUnreachable)
	}
	is.Equal(len(f.followed()), 2)
}

// TestOneThatIsNotSoundIsNotAskedBesideAllOthers: while control nodes find one another none
// of them is sound.
func TestOneThatIsNotSoundIsNotAskedBesideAllOthers(t *testing.T) {
	is := is.New(t)
	f := startingGateway(t, fiveNodes...)
	began := time.Unix(1_800_000_000, 0)
	followedAt := func(after time.Duration) int {
		f.reconsiderAt(began.Add(after))
		f.set(func(s *source) { s.live, s.detached, s.heardAt = true, true, began.Add(after) })
		return len(f.followed())
	}
	is.Equal(followedAt(0), 1)
	is.Equal(followedAt(besideAfter-1), 1)
	is.Equal(followedAt(besideAfter), 2)
	is.Equal(followedAt(3*besideAfter-1), 2)
	is.Equal(followedAt(3*besideAfter), 3)
}

// TestWhereNobodyIsCertainTwoAreAsked and no more: without a leader no node knows that its
// configuration is the newest, and all of them with all gateways would delay the election.
func TestWhereNobodyIsCertainTwoAreAsked(t *testing.T) {
	is := is.New(t)
	f := startingGateway(t, fiveNodes...)
	now := time.Unix(1_800_000_000, 0)
	for range 20 {
		f.reconsiderAt(now)
		f.set(func(s *source) { s.live, s.uncertain, s.heardAt = true, true, now })
		now = now.Add(besideAfter)
	}
	is.Equal(len(f.followed()), uncertainFollowed)
}

// TestACertaintyIsAsOldAsItsSourceSays, counted on from when it was told.
func TestACertaintyIsAsOldAsItsSourceSays(t *testing.T) {
	is := is.New(t)
	f := startingGateway(t, fiveNodes[0])
	now := time.Unix(1_800_000_000, 0)
	f.now = func() time.Time { return now }
	f.reconsiderAt(now)
	s := f.sources[fiveNodes[0].Address]
	f.take(s, wire.FeedUpdate{ConfirmedMS: 300})
	is.Equal(f.Known().Confirmed, now.Add(-300*time.Millisecond))
	f.take(s, wire.FeedUpdate{})
	is.True(f.Known().Confirmed.IsZero())
}

// TestTheOwnZonesControlNodeIsFollowedAsSoonAsItIsKnown, whatever else is followed.
func TestTheOwnZonesControlNodeIsFollowedAsSoonAsItIsKnown(t *testing.T) {
	is := is.New(t)
	f := startingGateway(t, fiveNodes[:2]...)
	now := time.Unix(1_800_000_000, 0)
	f.reconsiderAt(now)
	near := wire.Member{Address: "192.0.2.9:1", Zone: "z"}
	f.mu.Lock()
	f.add([]wire.Member{near})
	f.mu.Unlock()
	f.reconsiderAt(now.Add(time.Millisecond))
	is.True(f.followed()[near.Address])
}

// quietRelay is a relay whose rounds the test runs; its follower knows one control node.
func quietRelay(t *testing.T) (*Relay, *source) {
	t.Helper()
	f := startingGateway(t, fiveNodes[0])
	f.mu.Lock()
	s := f.sources[fiveNodes[0].Address]
	s.live = true
	f.mu.Unlock()
	cluster := Cluster{Quarantine: func() *wire.Quarantine { return nil }, Drains: func() *wire.ZoneDrains { return nil }, Version: func() uint64 { return 1 }, Members: func() []string { return []string{s.address} }}
	cluster.Confirmed = func(now time.Time) time.Time { return now }
	return NewRelay("n", "z", f, cluster, time.Now), s
}

// TestAnotherGatewayIsNoNewsForTheOthers: each gateway that began to follow any control
// node was news for all others, so that 295 that started together were told 295 times.
func TestAnotherGatewayIsNoNewsForTheOthers(t *testing.T) {
	is := is.New(t)
	r, s := quietRelay(t)
	now := time.Unix(1_800_000_000, 0)
	r.round(now)
	_, told, changed, err := r.next(relayState{})
	is.NoErr(err)
	s.gateways = 7
	r.follower.options.Gateway = true // it takes the largest number that a node says
	r.round(now)
	select {
	case <-changed:
		t.Error("the gateways are told at once")
	default:
	}
	sign, _, _, err := r.next(told)
	is.NoErr(err)
	var update wire.FeedUpdate
	is.NoErr(json.Unmarshal(sign.Params(), &update))
	is.Equal(update.Gateways, 7) // the next sign of life says it
}

// TestTellingCostsABoundedShareWhateverTheGateways: the pause grows with their number.
func TestTellingCostsABoundedShareWhateverTheGateways(t *testing.T) {
	is := is.New(t)
	r, _ := quietRelay(t)
	is.Equal(r.Join(), newsJoin)
	r.gateways.Store(295)
	is.Equal(r.Join(), 295*joinPerGateway)
}
