package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/exchange"
	"github.com/moorspool/moorspool/src/feed"
	"github.com/moorspool/moorspool/src/metric"
	"github.com/moorspool/moorspool/src/quarantine"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/resume"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// The headers of these tests.
const (
	stepID      = "Test-Id"
	stepResumes = "Test-Resumes"
	stepAfter   = "Test-After"
)

// frozenLink passes bytes between a gateway and a control node. What comes while it is frozen waits, as in the
// sockets of a process that stands still.
type frozenLink struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// up holds back what the gateway sends, down what the control node sends.
	up, down bool
	changed  *sync.Cond
}

func newFrozenLink(t *testing.T, target string) *frozenLink {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &frozenLink{listener: listener, target: target}
	l.changed = sync.NewCond(&l.mu)
	t.Cleanup(func() { l.freeze(false, false); _ = listener.Close() })
	go l.accept()
	return l
}

func (l *frozenLink) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = conn.Close()
			continue
		}
		go l.copy(far, conn, &l.up)
		go l.copy(conn, far, &l.down)
	}
}

func (l *frozenLink) copy(to, from net.Conn, frozen *bool) {
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		for *frozen {
			l.changed.Wait()
		}
		l.mu.Unlock()
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (l *frozenLink) freeze(up, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.up, l.down = up, down
	l.changed.Broadcast()
}

func (l *frozenLink) address() string { return l.listener.Addr().String() }

// stepControl is a control node with a list of replicas of its own.
type stepControl struct {
	site    *stepSite
	link    *frozenLink
	client  *rpc.Client
	witness *versionWitness
	zone    string
	// cut is set while the node hears nothing of replicas and of other control nodes.
	cut atomic.Bool
	// earlier is set while the node is of a build that does not know the question for versions.
	earlier atomic.Bool
	// reply is the record of all streams, nil if there are none.
	reply atomic.Pointer[wire.StreamOriginReply]
	// config is the version of the configuration that the node has applied.
	config atomic.Uint64

	mu     sync.Mutex
	listed []registry.Record
}

// stepSite is a gateway that follows control nodes, in front of replicas whose events name their software.
type stepSite struct {
	t        *testing.T
	controls []*stepControl
	gateway  *gateway
	fleet    *exchange.Fleet
	clients  *httptest.Server
	// shift is how far the clocks of gateway and control nodes are ahead.
	shift atomic.Int64
	// taken counts the requests that reached a replica.
	taken atomic.Int64
}

func (s *stepSite) now() time.Time { return time.Now().Add(time.Duration(s.shift.Load())) }

// newStepSite returns a site with control nodes in three availability zones and one replica of software v1, which
// all have known for three minutes.
func newStepSite(t *testing.T) *stepSite {
	t.Helper()
	s := &stepSite{t: t}
	for i := range 3 {
		s.startControl("z" + strconv.Itoa(i))
	}
	s.startGateway()
	s.list("a", "v1")
	s.eventually("the replica is known", func() bool { return s.fleet.Peer("a") != nil })
	s.shift.Add(int64(3 * resume.SettleTime))
	s.eventually("the configuration is confirmed", s.gateway.follower.Confirmed)
	return s
}

func (s *stepSite) eventually(what string, met func() bool) {
	s.t.Helper()
	for begun := time.Now(); !met(); time.Sleep(time.Millisecond) {
		if time.Since(begun) > 10*time.Second {
			s.t.Fatalf("not met: %s", what)
		}
	}
}

func (s *stepSite) startControl(zone string) {
	c := &stepControl{site: s, zone: zone}
	mux := rpc.NewMux()
	mux.Handle(wire.MethodWatchFeed, rpc.Typed(func(_ context.Context, peer *rpc.Peer, _ wire.FeedRequest) (wire.Empty, error) {
		go c.stream(peer)
		return wire.Empty{}, nil
	}))
	mux.Handle(wire.MethodStreamOrigin, rpc.Typed(func(context.Context, *rpc.Peer, wire.StreamOriginRequest) (wire.StreamOriginReply, error) {
		if reply := c.reply.Load(); reply != nil {
			return *reply, nil
		}
		return wire.StreamOriginReply{}, nil
	}))
	c.witness = &versionWitness{versions: resume.NewVersions(), seenAt: map[string]time.Time{}, now: s.now, members: s.members, peers: c.peers, config: c.config.Load, ask: c.ask}
	mux.Handle(wire.MethodSoleVersion, rpc.Typed(func(ctx context.Context, peer *rpc.Peer, request wire.SoleVersionRequest) (wire.SoleVersionReply, error) {
		if c.earlier.Load() {
			return wire.SoleVersionReply{}, errors.New("no such method")
		}
		return c.witness.handle(ctx, peer, request)
	}))
	server, err := rpc.Listen("127.0.0.1:0", mux, &rpc.Meter{})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(server.Close)
	c.link = newFrozenLink(s.t, server.Address())
	c.client = rpc.NewClient(server.Address(), rpc.NewMux(), &rpc.Meter{}, nil, time.Second)
	s.controls = append(s.controls, c)
}

// members returns the addresses of the control nodes.
func (s *stepSite) members() []string {
	var addresses []string
	for _, c := range s.controls {
		addresses = append(addresses, c.link.address())
	}
	slices.Sort(addresses)
	return addresses
}

// removeControl removes the third control node from the members, which the others have known as one until a time
// ago. It may be cut off and serve gateways that are cut off with it.
func (s *stepSite) removeControl(age time.Duration) {
	for _, c := range s.controls {
		c.witness.noteMembers()
	}
	removed := s.controls[2].link.address()
	for _, c := range s.controls {
		c.witness.members = func() []string {
			return slices.DeleteFunc(s.members(), func(address string) bool { return address == removed })
		}
		c.witness.peers = func() []string {
			return slices.DeleteFunc(c.peers(), func(address string) bool { return address == removed })
		}
	}
	s.shift.Add(int64(age))
	s.eventually("the configuration is confirmed", s.gateway.follower.Confirmed)
}

// peers returns the addresses of the other control nodes.
func (c *stepControl) peers() []string {
	return slices.DeleteFunc(c.site.members(), func(address string) bool { return address == c.link.address() })
}

// ask asks another control node unless one of the two is cut off.
func (c *stepControl) ask(ctx context.Context, address string, request wire.SoleVersionRequest) (reply wire.SoleVersionReply, err error) {
	at := slices.IndexFunc(c.site.controls, func(other *stepControl) bool { return other.link.address() == address })
	if c.cut.Load() || c.site.controls[at].cut.Load() {
		return reply, rpc.ErrUnreachable
	}
	err = c.site.controls[at].client.Call(ctx, wire.MethodSoleVersion, request, &reply)
	return reply, err
}

// stream sends the list of replicas again and again.
func (c *stepControl) stream(peer *rpc.Peer) {
	for first := true; ; first = false {
		update := wire.FeedUpdate{Zone: c.zone, Full: first, ConfirmedMS: 1}
		for _, control := range c.site.controls {
			update.Members = append(update.Members, wire.Member{Address: control.link.address(), Zone: control.zone})
		}
		c.mu.Lock()
		for _, record := range c.listed {
			update.Standings = append(update.Standings, registry.ReplicaStatus{Record: record})
		}
		c.mu.Unlock()
		if err := peer.Notify(wire.MethodFeed, update); err != nil {
			return
		}
		select {
		case <-peer.Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// list lets a replica of a software version start, which the control nodes learn that are not cut off.
func (s *stepSite) list(id, software string) {
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.taken.Add(1)
		w.Header().Set(stepID, r.Header.Get(stepID))
		_, _ = fmt.Fprintf(w, "id: 3\ndata: %s\n\n", software)
	}))
	s.t.Cleanup(replica.Close)
	record := registry.Record{ID: id, Service: "s", Address: replica.Listener.Addr().String(), Zone: "z0", SoftwareVersion: software, Slots: 4, Sequence: 1}
	for _, c := range s.controls {
		if !c.cut.Load() {
			c.list(record)
		}
	}
}

// list lets the control node learn of a replica.
func (c *stepControl) list(record registry.Record) {
	c.witness.setReplicas(registry.Changes{Entries: []registry.Entry{{Record: record}}})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = append(c.listed, record)
}

func (s *stepSite) startGateway() {
	ring := event.NewRing("test", 16, nil, time.Now)
	s.fleet = exchange.NewFleet("z0", exchange.Dial, ring, s.now, s.now)
	g := &gateway{origins: newStreamOrigins(10), fleet: s.fleet}
	options := feed.Options{Node: "g", Zone: "z0", Gateway: true, Seeds: []string{s.controls[0].link.address()}}
	g.follower = feed.NewFollower(options, feed.Sink{Replicas: s.fleet.SetReplicas}, &rpc.Meter{}, nil, ring, s.now)
	g.handler = exchange.NewHandler(exchange.Options{
		Codec: stepCodec(), Fleet: s.fleet, Budget: exchange.BudgetLimits{Ratio: 1, Extra: 100, Window: 10 * time.Second},
		Tracker: quarantine.NewTracker(quarantine.NewTable(func(quarantine.Change) {})),
		Demand:  exchange.NewDemand(), Metrics: exchange.NewMetrics(metric.New("test")), Now: s.now, Ring: ring,
		Origins:         exchange.Origins{Store: g.storeOrigin, Withdraw: g.withdrawOrigin, Find: g.findOrigin, SoleVersion: g.soleVersion},
		ConfigConfirmed: g.follower.Confirmed,
	})
	g.handler.SetTable(catalog.NewTable(catalog.Document{
		Routes: []catalog.Route{{
			Name: "r", Prefix: "/", Host: "h.example", Kind: catalog.Streaming, Resumable: true, Attempts: 1,
			Timeout: 3 * time.Second, Target: time.Second, Splits: []catalog.Split{{Service: "s", Weight: 1}},
		}},
		Services: []catalog.Service{{Name: "s"}},
		Limits:   catalog.Limits{BodyBytes: 1 << 20},
	}))
	s.gateway = g
	s.clients = httptest.NewUnstartedServer(g.handler)
	s.clients.Config.ConnContext = exchange.ConnContext
	s.clients.Start()
	s.t.Cleanup(s.clients.Close)
	ctx, cancel := context.WithCancel(context.Background())
	s.t.Cleanup(cancel)
	go g.follower.Run(ctx)
}

func stepCodec() exchange.Codec {
	return exchange.Codec{
		RequestInfo: func(r *http.Request) exchange.RequestInfo {
			return exchange.RequestInfo{ID: r.Header.Get(stepID), Resumes: r.Header.Get(stepResumes), ResumeAfter: r.Header.Get(stepAfter)}
		},
		EncodeRequest: func(http.Header, exchange.RequestInfo, exchange.Attempt) {},
		Reply:         func(_ int, header http.Header) exchange.Reply { return exchange.Reply{ID: header.Get(stepID)} },
	}
}

// takeUp lets a client take up a stream of which nobody has a record, and returns the status.
func (s *stepSite) takeUp(id string) int {
	s.t.Helper()
	request, err := http.NewRequest(http.MethodPost, s.clients.URL+"/", strings.NewReader("body"))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Host = "h.example"
	request.Header.Set(stepID, id)
	request.Header.Set(stepResumes, "begun")
	request.Header.Set(stepAfter, "2")
	response, err := s.clients.Client().Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	return response.StatusCode
}

// freeze freezes the links to all control nodes.
func (s *stepSite) freeze(up, down bool) {
	for _, c := range s.controls {
		c.link.freeze(up, down)
	}
}

// A replica of other software can be listed, begin a stream through another gateway and break while a gateway
// hears nothing. That gateway must not go on with the stream at the only version that it knows.
func TestAGatewayThatHearsNothingTakesNoVersionForTheOnlyOne(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  func(s *stepSite)
	}{
		{"all links frozen", func(s *stepSite) { s.freeze(true, true) }},
		{"frozen from the control nodes", func(s *stepSite) { s.freeze(false, true) }},
		{"frozen to the control nodes", func(s *stepSite) { s.freeze(true, false) }},
		{"the control node that it follows is cut off", func(s *stepSite) { s.controls[0].cut.Store(true) }},
		{"it reaches only a control node that is cut off", func(s *stepSite) {
			s.controls[0].cut.Store(true)
			s.controls[1].link.freeze(true, true)
			s.controls[2].link.freeze(true, true)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newStepSite(t)
			c.cut(s)
			s.list("b", "v2")
			is.Equal(s.takeUp("back"), http.StatusServiceUnavailable)
			is.Equal(s.taken.Load(), int64(0))
		})
	}
}

// As a process goes on that stood still, requests may be handled before the news that waited in its sockets.
func TestAGatewayThatStoodStillTakesNoVersionForTheOnlyOne(t *testing.T) {
	for _, stopped := range []time.Duration{300 * time.Millisecond, time.Second, 2500 * time.Millisecond, 4 * time.Second} {
		t.Run(stopped.String(), func(t *testing.T) {
			is := is.New(t)
			s := newStepSite(t)
			s.freeze(true, true)
			s.list("b", "v2")
			s.shift.Add(int64(stopped))
			is.Equal(s.takeUp("back"), http.StatusServiceUnavailable)
			is.Equal(s.taken.Load(), int64(0))
		})
	}
}

// What gateways were told, all control nodes together must have known: a stream goes on at the only version only if
// each of them says so after the request has arrived.
func TestAStreamGoesOnAtTheOnlyVersionThatAllControlNodesKnow(t *testing.T) {
	other := registry.Record{ID: "b", Service: "s", Address: "127.0.0.1:1", Zone: "z2", SoftwareVersion: "v2", Slots: 4, Sequence: 1}
	for _, c := range []struct {
		name   string
		change func(s *stepSite)
		goesOn bool
	}{
		{"all answer", func(*stepSite) {}, true},
		{"more of the same version", func(s *stepSite) { s.list("c", "v1") }, true},
		{"one knows another version that it told nobody yet", func(s *stepSite) {
			s.controls[2].witness.setReplicas(registry.Changes{Entries: []registry.Entry{{Record: other}}})
		}, false},
		{"one knows a replica without a version", func(s *stepSite) {
			unknown := other
			unknown.SoftwareVersion = ""
			s.controls[1].witness.setReplicas(registry.Changes{Entries: []registry.Entry{{Record: unknown}}})
		}, false},
		{"one has started lately", func(s *stepSite) {
			s.controls[2].witness.versions = resume.NewVersions()
			s.controls[2].list(s.controls[2].listed[0])
		}, false},
		{"one is cut off from the others", func(s *stepSite) { s.controls[2].cut.Store(true) }, false},
		{"one is of an earlier build", func(s *stepSite) { s.controls[2].earlier.Store(true) }, false},
		{"the asked one is of an earlier build", func(s *stepSite) { s.controls[0].earlier.Store(true) }, false},
		{"one has a newer configuration", func(s *stepSite) { s.controls[1].config.Store(1) }, false},
		{"one knows another control node", func(s *stepSite) {
			s.controls[1].witness.members = func() []string { return append(s.members(), "~") }
		}, false},
		{"one was removed lately", func(s *stepSite) { s.removeControl(0) }, false},
		{"one was removed long ago", func(s *stepSite) { s.removeControl(2 * formerMemberTime) }, true},
		{"the followed one knows no members", func(s *stepSite) {
			for _, c := range s.controls {
				c.witness.members = func() []string { return nil }
			}
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newStepSite(t)
			c.change(s)
			got := s.takeUp("back")
			is.Equal(got == http.StatusOK, c.goesOn)
			is.Equal(got == http.StatusServiceUnavailable, !c.goesOn)
			is.Equal(s.taken.Load() == 1, c.goesOn)
		})
	}
}

// Clients that name no attempt must not keep the control nodes busy.
func TestQuestionsForTheOnlyVersionAreBounded(t *testing.T) {
	is := is.New(t)
	s := newStepSite(t)
	s.gateway.origins.searches.Store(maxOriginSearches)
	is.Equal(s.takeUp("busy"), http.StatusServiceUnavailable)
	s.gateway.origins.searches.Store(0)
	is.Equal(s.takeUp("idle"), http.StatusOK)
	is.Equal(s.gateway.origins.searches.Load(), int64(0))
}
