package fleet

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/clock"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/feed"
	"github.com/moorspool/moorspool/src/resume"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

var (
	firstOrigin  = resume.Origin{Service: "s", SoftwareVersion: "v1"}
	secondOrigin = resume.Origin{Service: "s", SoftwareVersion: "v2"}
)

// newOriginGateway returns a gateway that reaches no control node.
func newOriginGateway() *gateway {
	ring := event.NewRing("test", 16, nil, time.Now)
	follower := feed.NewFollower(feed.Options{Node: "g", Zone: "z", Gateway: true}, feed.Sink{}, &rpc.Meter{}, nil, ring, clock.Now)
	return &gateway{origins: newStreamOrigins(10), follower: follower}
}

func TestAGatewayFindsItsOwnStreamsWithoutControlNodes(t *testing.T) {
	is := is.New(t)
	g := newOriginGateway()
	g.storeOrigin(resume.NewKey("a", "r", "one"), firstOrigin)
	finding, known := g.findOrigin(context.Background(), resume.NewKey("a", "r", "one"))
	is.True(known)
	is.Equal(finding.Origin, firstOrigin)
	is.Equal(finding.Evidence, resume.OwnRecord)
	_, known = g.findOrigin(context.Background(), resume.NewKey("a", "r", "other"))
	is.True(!known)
	is.Equal(g.origins.searches.Load(), int64(0))
}

func TestOriginsAreToldOnceAndByVersion(t *testing.T) {
	is := is.New(t)
	s := newStreamOrigins(10)
	now := time.Now()
	s.put(now, resume.NewKey("a", "r", "one"), firstOrigin)
	s.put(now, resume.NewKey("a", "r", "two"), firstOrigin)
	s.put(now, resume.NewKey("a", "r", "three"), secondOrigin)
	keys := map[string]int{}
	for _, group := range s.takePending().Groups {
		keys[group.SoftwareVersion] += len(group.Keys)
	}
	is.Equal(keys, map[string]int{"v1": 2, "v2": 1})
	is.Equal(len(s.takePending().Groups), 0)
}

// Clients that name attempts at random must not keep the control nodes busy.
func TestSearchesForOriginsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newStreamOrigins(10)
	asked := 0
	ask := func() (resume.Finding, bool) {
		asked++
		return resume.Finding{Origin: firstOrigin}, asked == 2
	}
	s.searches.Store(maxOriginSearches)
	_, known := s.search(context.Background(), ask)
	is.True(!known)
	is.Equal(asked, 0)
	s.searches.Store(maxOriginSearches - 1)
	_, known = s.search(context.Background(), ask)
	is.True(known) // asked again
	is.Equal(asked, 2)
	is.Equal(s.searches.Load(), int64(maxOriginSearches-1))
}

func TestAControlNodeTellsWhatItWasTold(t *testing.T) {
	is := is.New(t)
	c := &controlNode{origins: resume.NewTable(10)}
	key := resume.NewKey("a", "r", "one")
	tell := func(origin resume.Origin) {
		_, err := c.handleOrigins(context.Background(), nil, wire.StreamOrigins{Forwarded: true, Groups: []wire.StreamOriginGroup{
			{Service: origin.Service, SoftwareVersion: origin.SoftwareVersion, Keys: []resume.Key{key}},
		}})
		is.NoErr(err)
	}
	ask := func() wire.StreamOriginReply {
		reply, err := c.handleOrigin(context.Background(), nil, wire.StreamOriginRequest{Key: key, Forwarded: true})
		is.NoErr(err)
		return reply
	}
	is.Equal(ask(), wire.StreamOriginReply{})
	tell(firstOrigin)
	is.Equal(ask().SoftwareVersion, "v1")
	tell(resume.Origin{})
	is.Equal(ask(), wire.StreamOriginReply{Withdrawn: true})
}

// A record that was withdrawn is a finding: the gateway must not conclude from the list which software began the
// stream.
func TestAGatewayFindsThatARecordWasWithdrawn(t *testing.T) {
	is := is.New(t)
	key := resume.NewKey("a", "r", "one")
	g := newOriginGateway()
	g.withdrawOrigin(context.Background(), key)
	finding, found := g.findOrigin(context.Background(), key)
	is.True(found)
	is.True(!finding.Origin.Known())
	s := newStepSite(t)
	s.controls[0].reply.Store(&wire.StreamOriginReply{Withdrawn: true})
	finding, found = s.gateway.findOrigin(context.Background(), key)
	is.True(found)
	is.True(!finding.Origin.Known())
	is.Equal(s.takeUp("back"), http.StatusServiceUnavailable)
	is.Equal(s.taken.Load(), int64(0))
}
