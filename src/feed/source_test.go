package feed

import (
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
	f.reconsiderAt(now)
	is.Equal(len(f.followed()), 1)
	f.reconsiderAt(now.Add(nextAfter - 1))
	is.Equal(len(f.followed()), 1)
	for i := 1; i < len(fiveNodes); i++ {
		now = now.Add(nextAfter)
		f.reconsiderAt(now)
		is.Equal(len(f.followed()), 1+i)
	}
}

// TestOneThatIsNotSoundIsNotAskedBesideAllOthers: while control nodes find one another none
// of them is sound.
func TestOneThatIsNotSoundIsNotAskedBesideAllOthers(t *testing.T) {
	is := is.New(t)
	f := startingGateway(t, fiveNodes...)
	now := time.Unix(1_800_000_000, 0)
	f.reconsiderAt(now)
	for address := range f.followed() {
		s := f.sources[address]
		s.live, s.detached, s.heardAt = true, true, now
	}
	f.reconsiderAt(now.Add(besideAfter - 1))
	is.Equal(len(f.followed()), 1)
	f.reconsiderAt(now.Add(besideAfter))
	is.Equal(len(f.followed()), 2)
}

// TestTheOwnZonesControlNodeIsFollowedAsSoonAsItIsKnown, whatever else is followed.
func TestTheOwnZonesControlNodeIsFollowedAsSoonAsItIsKnown(t *testing.T) {
	is := is.New(t)
	f := startingGateway(t, fiveNodes[:2]...)
	now := time.Unix(1_800_000_000, 0)
	f.reconsiderAt(now)
	near := wire.Member{Address: "192.0.2.9:1", Zone: "z"}
	f.add([]wire.Member{near})
	f.reconsiderAt(now.Add(time.Millisecond))
	is.True(f.followed()[near.Address])
}
