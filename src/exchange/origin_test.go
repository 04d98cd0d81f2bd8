package exchange

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/resume"
)

// resumable returns a route whose streams may be resumed.
func resumable(attempts int) catalog.Route {
	r := route(catalog.Streaming, attempts)
	r.Resumable = true
	return r
}

// versionedReplica returns a replica with a software version.
func versionedReplica(t *testing.T, id, software string, act behaviour) *fakeReplica {
	r := newReplica(t, id, act)
	r.software = software
	return r
}

// breakingFirst breaks the first run of all replicas that share it off after a number of events.
func breakingFirst(after int) func() behaviour {
	var once sync.Once
	return func() behaviour {
		return func(a arrival) bool {
			act := streaming(4)
			once.Do(func() { act = breaking(after) })
			return act(a)
		}
	}
}

// originStore is what a handler's Origins record.
type originStore struct {
	table     *resume.Table
	stored    atomic.Int64
	withdrawn atomic.Bool
}

func (s *originStore) origins() Origins {
	return Origins{
		Store: func(key resume.Key, origin resume.Origin) { s.stored.Add(1); s.table.Put(time.Now(), key, origin) },
		Withdraw: func(_ context.Context, key resume.Key) {
			time.Sleep(20 * time.Millisecond)
			s.table.Put(time.Now(), key, resume.Origin{})
			s.withdrawn.Store(true)
		},
		Find: func(_ context.Context, key resume.Key) (resume.Finding, bool) {
			origin, age, known := s.table.Get(time.Now(), key)
			return resume.Finding{Origin: origin, Evidence: resume.SharedRecord, Age: age}, known || s.table.Withdrawn(time.Now(), key)
		},
	}
}

// newOriginBench returns a handler that records the origins of streams.
func newOriginBench(t *testing.T, r catalog.Route, replicas ...*fakeReplica) (*bench, *originStore) {
	b, store := newBench(t, r, replicas...), &originStore{table: resume.NewTable(100)}
	b.handler.options.Origins = store.origins()
	return b, store
}

func TestAStreamGoesOnOnlyAtTheSoftwareVersionThatBeganIt(t *testing.T) {
	for _, c := range []struct {
		name  string
		third string
		whole bool
	}{
		{"one with the version is left", "v1", true},
		{"none with the version is left", "v2", false},
		{"the version of the others is not known", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			first := breakingFirst(2)
			a := versionedReplica(t, "a", "v1", first())
			b := newBench(t, resumable(3), a)
			other := versionedReplica(t, "b", "v2", streaming(4))
			third := versionedReplica(t, "c", c.third, streaming(4))
			act := first()
			a.setAct(func(at arrival) bool {
				b.register(other, third)
				return act(at)
			})
			begun := time.Now()
			got := b.do("POST", "one", "")
			is.Equal(got.err == nil, c.whole)
			is.Equal(other.count(), 0)
			is.Equal(third.count() > 0, c.whole)
			is.True(time.Since(begun) < time.Second) // not held until its deadline
		})
	}
}

func TestAStreamIsBoundByItsFirstEventNotByItsFirstAttempt(t *testing.T) {
	is := is.New(t)
	a := versionedReplica(t, "a", "v1", breaking(0))
	b := newBench(t, resumable(3), a)
	other := versionedReplica(t, "b", "v2", streaming(4))
	a.setAct(func(at arrival) bool {
		b.register(other)
		return breaking(0)(at)
	})
	got := b.do("POST", "one", "")
	is.NoErr(got.err)
	is.Equal(len(events(got.body)), 4)
	is.Equal(got.header.Get(testStamp), "b.one")
}

func TestAStreamOfAReplicaWithContradictoryVersionsDoesNotGoOn(t *testing.T) {
	is := is.New(t)
	a, other := versionedReplica(t, "a", "v1", breaking(2)), versionedReplica(t, "b", "v1", breaking(2))
	b := newBench(t, resumable(3), a, other)
	for _, r := range []*fakeReplica{a, other} {
		r.software = "v2"
	}
	b.register(a, other)
	is.True(b.do("POST", "one", "").err != nil)
	is.Equal(a.count()+other.count(), 1)
}

func TestARunIsCopiedToItsSoftwareVersionOnly(t *testing.T) {
	for _, c := range []struct {
		software string
		copied   bool
	}{{"v1", true}, {"v2", false}, {"", false}} {
		t.Run(c.software, func(t *testing.T) {
			is := is.New(t)
			s := newCrashSite(t, func(arrival, *fakeReplica) bool { return false })
			for _, id := range []string{"x", "y"} {
				s.fleet.Peer(id).software = resume.Software{}
			}
			s.fleet.Peer("x").software.Learn("v1")
			s.fleet.Peer("y").software.Learn(c.software)
			_ = s.ask()
			is.Equal(s.first.last().request.Header.Get(testBackup) != "", c.copied)
		})
	}
}

// takeUp begins a stream that breaks off after its second event, and takes it up with the given headers.
func takeUp(b *bench, headers ...string) clientResponse {
	_ = b.do("POST", "begun", "")
	return b.do("POST", "back", "", headers...)
}

func TestAClientTakesUpItsOwnStreamOnly(t *testing.T) {
	named := testResumes + ": begun"
	after := testAfter + ": 2"
	for _, c := range []struct {
		name    string
		headers []string
		refused bool
		// after is the event after which the replica is asked to go on.
		after string
	}{
		{"its own", []string{named, after}, false, "2"},
		{"an attempt that is not known", []string{testResumes + ": other", after}, true, ""},
		{"a very long ID", []string{testResumes + ": " + strings.Repeat("x", 60000), after}, true, ""},
		{"no attempt named", []string{after}, true, ""},
		{"no event named", []string{named}, false, ""},
		{"no event named, of an attempt that is not known", []string{testResumes + ": other"}, false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			begin := breakingFirst(2)
			replicas := []*fakeReplica{versionedReplica(t, "a", "v1", begin()), versionedReplica(t, "b", "v2", begin())}
			b, _ := newOriginBench(t, resumable(1), replicas...)
			got := takeUp(b, c.headers...)
			is.NoErr(got.err)
			if c.refused {
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.Equal(got.header.Get("Retry-After"), "") // nothing to come back for here
				is.Equal(replicas[0].count()+replicas[1].count(), 1)
				return
			}
			is.Equal(got.status, http.StatusOK)
			asked := ""
			for _, r := range replicas {
				if r.count() > 0 && r.last().name() == "back" {
					asked = r.last().request.Header.Get(testAfter)
				}
			}
			is.Equal(asked, c.after)
		})
	}
}

func TestAStreamOfAnotherAccountOrRouteIsNotTakenUp(t *testing.T) {
	key := resume.NewKey("a", "r", "begun")
	is := is.New(t)
	for _, other := range []resume.Key{resume.NewKey("b", "r", "begun"), resume.NewKey("a", "q", "begun"), resume.NewKey("", "r", "begun"), resume.NewKey("a", "r", "other")} {
		is.True(other != key)
	}
}

func TestAStreamIsTakenUpAtItsSoftwareVersion(t *testing.T) {
	for _, serving := range []bool{true, false} {
		t.Run(fmt.Sprint("it still serves ", serving), func(t *testing.T) {
			is := is.New(t)
			a, other := versionedReplica(t, "a", "v1", breaking(2)), versionedReplica(t, "b", "v2", streaming(4))
			b, _ := newOriginBench(t, resumable(1), a)
			_ = b.do("POST", "begun", "")
			a.setAct(streaming(4))
			b.register(other)
			if !serving {
				b.fleet.SetReplicas(registry.Changes{Removed: []string{"a"}})
			}
			begun := time.Now()
			for i := range 8 {
				got := b.do("POST", fmt.Sprint("back-", i), "", testResumes+": begun", testAfter+": 2")
				is.NoErr(got.err)
				if serving {
					is.Equal(got.status, http.StatusOK)
					continue
				}
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.Equal(got.header.Get("Retry-After"), "")
			}
			is.Equal(other.count(), 0)
			is.True(time.Since(begun) < 2*time.Second) // refused at once
		})
	}
}

func TestAStreamIsTakenUpAtTheServiceThatBeganIt(t *testing.T) {
	is := is.New(t)
	r := resumable(1)
	r.Splits = []catalog.Split{{Service: "s", Weight: 1}, {Service: "t", Weight: 1_000_000}}
	b, store := newOriginBench(t, r, versionedReplica(t, "a", "v1", streaming(4)))
	store.table.Put(time.Now(), resume.NewKey("", "r", "begun"), resume.Origin{Service: "s", SoftwareVersion: "v1"})
	is.Equal(b.do("POST", "back", "", testResumes+": begun", testAfter+": 2").status, http.StatusOK)
	store.table.Put(time.Now(), resume.NewKey("", "r", "moved"), resume.Origin{Service: "u", SoftwareVersion: "v1"})
	is.Equal(b.do("POST", "back-2", "", testResumes+": moved", testAfter+": 2").status, http.StatusServiceUnavailable)
}

func TestAnIDOfTwoStreamsIsTakenUpAtNeitherVersion(t *testing.T) {
	is := is.New(t)
	a := versionedReplica(t, "a", "v1", breaking(2))
	b, store := newOriginBench(t, resumable(1), a)
	_ = b.do("POST", "begun", "")
	store.table.Put(time.Now(), resume.NewKey("", "r", "begun"), resume.Origin{Service: "s", SoftwareVersion: "v2"})
	is.Equal(b.do("POST", "back", "", testResumes+": begun", testAfter+": 2").status, http.StatusServiceUnavailable)
	is.Equal(a.count(), 1)
}

func TestAStreamOfARouteThatMayNotBeResumedIsNotRecorded(t *testing.T) {
	is := is.New(t)
	b, store := newOriginBench(t, route(catalog.Streaming, 1), versionedReplica(t, "a", "v1", streaming(2)))
	is.NoErr(b.do("POST", "begun", "").err)
	is.Equal(store.stored.Load(), int64(0))
}

func TestAForwardedStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	is := is.New(t)
	a, other := versionedReplica(t, "a", "v1", streaming(4)), versionedReplica(t, "b", "v2", streaming(4))
	n := newForwardNet(t, resumable(2), 1, a, other)
	n.loseLinks()
	store := &originStore{table: resume.NewTable(100)}
	n.handler.options.Origins = store.origins()
	got := n.do("POST", "begun", "")
	is.NoErr(got.err)
	is.Equal(store.stored.Load(), int64(1)) // the first gateway knows the version from the response
	version := "v" + map[string]string{"a": "1", "b": "2"}[got.header.Get(testStamp)[:1]]
	for i := range 8 {
		before := a.count()
		is.Equal(n.do("POST", fmt.Sprint("back-", i), "", testResumes+": begun", testAfter+": 2").status, http.StatusOK)
		is.Equal(a.count() > before, version == "v1")
	}
}

func TestTheAnswerOfAGatewayThatTellsNoOriginIsNotJoined(t *testing.T) {
	is := is.New(t)
	n := newForwardNet(t, resumable(2), 1, versionedReplica(t, "a", "", streaming(4)))
	n.loseLinks()
	store := &originStore{table: resume.NewTable(100)}
	store.table.Put(time.Now(), resume.NewKey("", "r", "begun"), resume.Origin{Service: "s", SoftwareVersion: "v1"})
	n.handler.options.Origins = store.origins()
	got := n.do("POST", "back", "", testResumes+": begun", testAfter+": 2")
	is.True(got.err != nil || got.status != http.StatusOK)
}

func TestAClientCannotSetTheOriginOfItsStream(t *testing.T) {
	is := is.New(t)
	a := versionedReplica(t, "a", "v1", streaming(4))
	b, _ := newOriginBench(t, resumable(1), a)
	got := b.do("POST", "back", "", testResumes+": begun", testAfter+": 2", headerForwardService+": s", headerForwardSoftware+": v1")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.NoErr(b.do("POST", "new", "", headerForwardService+": s", headerForwardSoftware+": v2").err)
	is.Equal(a.last().request.Header.Get(headerForwardSoftware), "")
}

func TestAServiceOfOneVersionNeedsNoRecord(t *testing.T) {
	is := is.New(t)
	a := versionedReplica(t, "a", "v1", streaming(4))
	b := newBench(t, resumable(1), a)
	ask := func(name string) int { return b.do("POST", name, "", testAfter+": 2").status }
	is.Equal(ask("early"), http.StatusServiceUnavailable)
	b.soleFor(2*resume.SettleTime, "v1")
	is.Equal(ask("unasked"), http.StatusServiceUnavailable) // what this gateway was told is not enough
	for _, told := range []struct {
		SoleVersion
		known, goesOn bool
	}{
		{SoleVersion{"v1", 1}, true, true},
		{SoleVersion{"v1", 1}, false, false},
		{SoleVersion{"v2", 1}, true, false},
		{SoleVersion{"v1", 2}, true, false}, // a newer configuration may lead the route elsewhere
	} {
		b.handler.options.Origins.SoleVersion = func(_ context.Context, service string) (SoleVersion, bool) {
			is.Equal(service, "s")
			return told.SoleVersion, told.known
		}
		is.Equal(ask(fmt.Sprint("told ", told)) == http.StatusOK, told.goesOn)
	}
	b.agreeOn("v1")
	is.Equal(ask("later"), http.StatusOK)
	b.handler.options.ConfigConfirmed = func() bool { return false }
	is.Equal(ask("cut-off"), http.StatusServiceUnavailable)
}

// restartedBench has a replica that reports its start, with an other one of the same software version, and
// starts again under its name with other software before its gateway is told.
func restartedBench(t *testing.T, act func(tellRestart func()) behaviour) (b *bench, store *originStore, other *fakeReplica) {
	other = versionedReplica(t, "b", "v1", streaming(4))
	restarted := versionedReplica(t, "a", "v1", whole)
	b, store = newOriginBench(t, resumable(3))
	entry := func(started int64, software string) registry.Entry {
		id := registry.Incarnation{Name: "a", StartedMS: started}.ID()
		return registry.Entry{Record: registry.Record{ID: id, Name: "a", StartedMS: started, Service: "s", Address: restarted.listener.Addr().String(), Zone: "z", SoftwareVersion: software, Slots: 4}}
	}
	restarted.setAct(act(func() {
		b.register(other)
		replaced := entry(1, "v1")
		replaced.Replaced = true
		b.fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{replaced, entry(2, "v2")}})
	}))
	b.fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{entry(1, "v1")}})
	return b, store, other
}

func TestAStreamOfAStartThatWasNotYetListedDoesNotGoOnAtTheEarlierVersion(t *testing.T) {
	is := is.New(t)
	b, _, other := restartedBench(t, func(tellRestart func()) behaviour {
		return func(a arrival) bool {
			a.head()
			a.event(1)
			time.Sleep(20 * time.Millisecond)
			tellRestart()
			return false
		}
	})
	is.True(b.do("POST", "one", "").err != nil)
	is.Equal(other.count(), 0)
}

func TestTheRecordOfAStartThatWasNotYetListedIsWithdrawn(t *testing.T) {
	is := is.New(t)
	var tell func()
	b, _, other := restartedBench(t, func(tellRestart func()) behaviour {
		tell = tellRestart
		return breaking(2)
	})
	is.True(b.do("POST", "begun", "").err != nil)
	tell()
	is.Equal(b.do("POST", "back", "", testResumes+": begun", testAfter+": 2").status, http.StatusServiceUnavailable)
	is.Equal(other.count(), 0)
}

func TestAStreamDoesNotGoOnAtAReplicaThatLeavesOrWantsNothing(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply Reply
	}{
		{"leaving", Reply{Leaving: true}},
		{"backoff", Reply{NotRun: true, Backoff: time.Minute}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, other := versionedReplica(t, "a", "v1", breaking(2)), versionedReplica(t, "b", "v1", streaming(4))
			b, _ := newOriginBench(t, resumable(3), a)
			a.setAct(func(at arrival) bool {
				b.register(other)
				b.fleet.applyReply(b.fleet.Peer("b"), &c.reply)
				return breaking(2)(at)
			})
			begun := time.Now()
			is.True(b.do("POST", "begun", "").err != nil)
			b.fleet.SetReplicas(registry.Changes{Removed: []string{"a"}})
			is.Equal(b.do("POST", "back", "", testResumes+": begun", testAfter+": 2").status, http.StatusServiceUnavailable)
			is.Equal(other.count(), 0)
			is.True(time.Since(begun) < time.Second)
		})
	}
}

func TestAForwardedStreamIsTakenUpAtTheServiceThatBeganIt(t *testing.T) {
	is := is.New(t)
	r := resumable(1)
	r.Splits = []catalog.Split{{Service: "s", Weight: 1}, {Service: "t", Weight: 1_000_000}}
	n := newForwardNet(t, r, 1, versionedReplica(t, "a", "v1", streaming(4)))
	n.loseLinks()
	store := &originStore{table: resume.NewTable(100)}
	store.table.Put(time.Now(), resume.NewKey("", "r", "begun"), resume.Origin{Service: "s", SoftwareVersion: "v1"})
	n.handler.options.Origins = store.origins()
	is.Equal(n.do("POST", "back", "", testResumes+": begun", testAfter+": 2").status, http.StatusOK)
	is.Equal(n.taken(), 1)
}

func TestAForwardedStreamIsOfferedToTheNextGatewayIfNoneOfItsVersionIsKnown(t *testing.T) {
	is := is.New(t)
	a, other := versionedReplica(t, "a", "v1", streaming(4)), versionedReplica(t, "b", "v2", streaming(4))
	n := newForwardNet(t, resumable(1), 2, a, other)
	n.others[0].fleet.SetReplicas(registry.Changes{Removed: []string{"a"}})
	n.loseLinks()
	store := &originStore{table: resume.NewTable(100)}
	store.table.Put(time.Now(), resume.NewKey("", "r", "begun"), resume.Origin{Service: "s", SoftwareVersion: "v1"})
	n.handler.options.Origins = store.origins()
	for i := range 8 {
		is.Equal(n.do("POST", fmt.Sprint("back-", i), "", testResumes+": begun", testAfter+": 2").status, http.StatusOK)
	}
	is.Equal(a.count(), 8)
}

// startedReplica lists a replica that reports its start, which its process may not be any more.
func (b *bench) startedReplica(f *fakeReplica, listedMS, runningMS int64) {
	f.setStart(runningMS)
	id := registry.Incarnation{Name: f.id, StartedMS: listedMS}.ID()
	b.fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: registry.Record{ID: id, Name: f.id, StartedMS: listedMS, Service: "s", Address: f.listener.Addr().String(), Zone: "z", SoftwareVersion: f.software, Slots: 4}}}})
}

// A replica that has started again under its name and address may run other software than the list says.
func TestAStreamGoesOnOnlyAtAStartThatIsConfirmed(t *testing.T) {
	for _, c := range []struct {
		name      string
		runningMS int64
		goesOn    bool
	}{{"the listed start", 5, true}, {"a later start", 6, false}, {"a start that is not told", 0, false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			first, other := versionedReplica(t, "a", "v1", breaking(2)), versionedReplica(t, "b", "v1", streaming(4))
			b, _ := newOriginBench(t, resumable(3), first)
			first.setAct(func(a arrival) bool {
				b.startedReplica(other, 5, c.runningMS)
				return breaking(2)(a)
			})
			got := b.do("POST", "begun", "")
			is.Equal(got.err == nil, c.goesOn)
			is.Equal(other.count() == 1, c.goesOn)
		})
	}
}

func TestAStreamThatALaterStartOfItsReplicaMayHaveBegunDoesNotGoOn(t *testing.T) {
	for _, runningMS := range []int64{5, 6} {
		t.Run(fmt.Sprint("running start ", runningMS), func(t *testing.T) {
			is := is.New(t)
			first, other := versionedReplica(t, "a", "v1", breaking(2)), versionedReplica(t, "b", "v1", streaming(4))
			b, store := newOriginBench(t, resumable(3))
			b.startedReplica(first, 5, runningMS)
			first.setAct(func(a arrival) bool {
				b.register(other)
				return breaking(2)(a)
			})
			got := b.do("POST", "begun", "")
			is.Equal(got.err == nil, runningMS == 5)
			is.Equal(other.count() == 1, runningMS == 5)
			is.Equal(store.withdrawn.Load(), runningMS != 5) // before the client can be back
			back := b.do("POST", "back", "", testResumes+": begun", testAfter+": 2")
			is.Equal(back.status == http.StatusOK, runningMS == 5)
		})
	}
}

func TestAStartIsConfirmedOnAKeptConnection(t *testing.T) {
	is := is.New(t)
	first, other := versionedReplica(t, "a", "v1", breaking(2)), versionedReplica(t, "b", "v1", whole)
	b, _ := newOriginBench(t, resumable(3))
	b.startedReplica(other, 5, 5)
	is.NoErr(b.do("POST", "before", "").err) // leaves a connection
	other.setAct(streaming(4))
	b.register(first)
	for i := range 4 {
		got := b.do("POST", fmt.Sprint("begun-", i), "")
		is.NoErr(got.err)
		is.Equal(len(events(got.body)), 4)
	}
}

// A gateway that has sent a forwarded stream may find only as it breaks off that its origin is in doubt.
func TestAForwardedStreamInDoubtDoesNotGoOnAtTheFirstGateway(t *testing.T) {
	is := is.New(t)
	first, other := versionedReplica(t, "a", "v1", nil), versionedReplica(t, "b", "v1", streaming(4))
	n := newForwardNet(t, resumable(3), 2)
	n.startedReplica(first, 5, 6)
	n.loseLinks()
	for _, g := range n.others {
		g.startedReplica(first, 5, 6)
	}
	first.setAct(func(a arrival) bool {
		for _, g := range n.others {
			g.startedReplica(other, 5, 5)
		}
		return breaking(2)(a)
	})
	is.True(n.do("POST", "begun", "").err != nil)
	is.Equal(other.count(), 0)
}

func TestAForwardedStreamIsTakenUpAtAReplicaThatConfirmsItsStart(t *testing.T) {
	is := is.New(t)
	a := versionedReplica(t, "a", "v1", streaming(4))
	n := newForwardNet(t, resumable(1), 1)
	n.startedReplica(a, 5, 5)
	n.loseLinks()
	n.others[0].startedReplica(a, 5, 5)
	store := &originStore{table: resume.NewTable(100)}
	store.table.Put(time.Now(), resume.NewKey("", "r", "begun"), resume.Origin{Service: "s", SoftwareVersion: "v1"})
	n.handler.options.Origins = store.origins()
	is.Equal(n.do("POST", "back", "", testResumes+": begun", testAfter+": 2").status, http.StatusOK)
}

// soleFor makes a software version of service s, to which route r has long led, the only one for a time.
func (b *bench) soleFor(age time.Duration, version string) {
	target := b.fleet.routes["r"]
	target.since = time.Now().Add(-2 * routeSettleTime)
	b.fleet.routes["r"] = target
	b.fleet.census["s"] = &resume.Census{}
	b.fleet.census["s"].Add(time.Now().Add(-age), version)
}

// agreeOn makes all control nodes know a software version as the only one.
func (b *bench) agreeOn(version string) {
	b.handler.options.Origins.SoleVersion = func(context.Context, string) (SoleVersion, bool) { return SoleVersion{version, 1}, true }
}

// A record that was withdrawn says that the version is not known, which the list does not refute: the start that
// began the stream may not be listed yet.
func TestAWithdrawnStreamIsNotTakenUpAtTheOnlyVersion(t *testing.T) {
	is := is.New(t)
	a := versionedReplica(t, "a", "v1", breaking(2))
	b, store := newOriginBench(t, resumable(1), a)
	_ = b.do("POST", "begun", "")
	store.origins().Withdraw(context.Background(), resume.NewKey("", "r", "begun"))
	b.soleFor(2*resume.SettleTime, "v1")
	b.agreeOn("v1")
	is.Equal(b.do("POST", "back", "", testResumes+": begun", testAfter+": 2").status, http.StatusServiceUnavailable)
	is.Equal(a.count(), 1)
	a.setAct(streaming(4))
	is.Equal(b.do("POST", "whole", "", testResumes+": begun").status, http.StatusOK) // the client holds no event of it
	is.Equal(a.last().request.Header.Get(testAfter), "")
}

// A stream that began before the route led to the service was begun by another service.
func TestAStreamOfARouteThatLedElsewhereIsNotTakenUpAtTheOnlyVersion(t *testing.T) {
	to := func(services ...string) []catalog.Split {
		var splits []catalog.Split
		for _, service := range services {
			splits = append(splits, catalog.Split{Service: service, Weight: 1})
		}
		return splits
	}
	for _, c := range []struct {
		name   string
		before []catalog.Split
		age    time.Duration
		goesOn bool
	}{
		{"to another service until now", to("t"), 0, false},
		{"also to another service until now", to("s", "t"), 0, false},
		{"to another service until lately", to("t"), routeSettleTime - time.Second, false},
		{"to another service long ago", to("t"), routeSettleTime, true},
		{"to the same service with another weight", []catalog.Split{{Service: "s", Weight: 7}}, 0, true},
		{"there was no such route", nil, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := versionedReplica(t, "a", "v1", streaming(4))
			r := resumable(1)
			r.Splits = c.before
			if c.before == nil {
				r.Name, r.Splits = "q", to("s")
			}
			b, _ := newOriginBench(t, r, a)
			b.soleFor(2*resume.SettleTime, "v1")
			if c.before == nil {
				delete(b.fleet.routes, "r")
			}
			b.agreeOn("v1")
			b.handler.SetTable(catalog.NewTable(catalog.Document{Version: 2, Routes: []catalog.Route{resumable(1)}, Services: testServices()}))
			target := b.fleet.routes["r"]
			target.since = target.since.Add(-c.age)
			b.fleet.routes["r"] = target
			got := b.do("POST", "back", "", testResumes+": begun", testAfter+": 2")
			is.Equal(got.status == http.StatusOK, c.goesOn)
			is.Equal(got.status == http.StatusServiceUnavailable, !c.goesOn)
			is.Equal(a.count() == 1, c.goesOn)
		})
	}
}

// The copy of a run is sent to an address, at which a later start with other software may have taken it. A gateway that
// hears nothing takes that start for the one on the list.
func TestARunGoesOnFromItsCopyOnlyAtAStartThatIsConfirmed(t *testing.T) {
	for _, runningMS := range []int64{5, 6} {
		t.Run(fmt.Sprint("running start ", runningMS), func(t *testing.T) {
			is := is.New(t)
			var s *crashSite
			s = newCrashSite(t, func(a arrival, r *fakeReplica) bool {
				s.other().setStart(runningMS)
				_ = r.listener.Close()
				return false
			})
			s.fleet.SetReplicas(registry.Changes{Removed: []string{"x", "y"}})
			for _, r := range s.replicas {
				r.setStart(5)
				id := registry.Incarnation{Name: r.id, StartedMS: 5}.ID()
				s.fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: registry.Record{ID: id, Name: r.id, StartedMS: 5, Service: "s", Address: r.listener.Addr().String(), Zone: "z", SoftwareVersion: "v1", Slots: 4, Models: []registry.Held{{Name: "m"}}}}}})
			}
			got := s.ask()
			is.Equal(got.err == nil && len(events(got.body)) == 4, runningMS == 5)
			is.Equal(s.other().count() == 1, runningMS == 5)
		})
	}
}
