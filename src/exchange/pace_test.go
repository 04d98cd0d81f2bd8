package exchange

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/loadview"
	"github.com/moorspool/moorspool/src/wire"
)

func pacedCall(priority int) *call {
	return &call{
		startedAt:   noon,
		requestInfo: RequestInfo{Model: "m"},
		route:       &catalog.Route{Target: 400 * time.Millisecond, GapTarget: 250 * time.Millisecond, Priority: priority},
	}
}

func TestPromptWaitsIfBacklogExceedsGapTarget(t *testing.T) {
	is := is.New(t)
	c := pacedCall(0)
	is.True(!c.mustPace(noon, Choice{PrefillTime: time.Second}))                                           // no backlog, so waiting would not help
	is.True(!c.mustPace(noon, Choice{Backlog: 60 * time.Millisecond, PrefillTime: 60 * time.Millisecond})) // both fit into the allowed pause
	is.True(c.mustPace(noon, Choice{Backlog: 100 * time.Millisecond, PrefillTime: 60 * time.Millisecond}))
	c.requestInfo.Model = ""
	is.True(!c.mustPace(noon, Choice{Backlog: time.Second, PrefillTime: time.Second})) // plain services have no prompts
}

func TestPacingWaitIsBounded(t *testing.T) {
	is := is.New(t)
	c := pacedCall(0)
	full := Choice{Backlog: time.Second, PrefillTime: 60 * time.Millisecond}
	hold := time.Duration(float64(c.route.Target) * maxPaceWaitShare)
	is.True(c.mustPace(noon.Add(hold-1), full))
	is.True(!c.mustPace(noon.Add(hold), full))
}

// TestNoPacingIfPrefillCannotExceedGapTarget: an event of two tokens allows for two prefill chunks,
// whatever the backlog is.
func TestNoPacingIfPrefillCannotExceedGapTarget(t *testing.T) {
	is := is.New(t)
	c := pacedCall(0)
	full := Choice{Backlog: time.Second, PrefillTime: 60 * time.Millisecond, ChunkTime: 50 * time.Millisecond}
	c.tokensPerEvent = 6
	is.True(c.mustPace(noon, full)) // 300 ms of chunks in an event, 250 allowed
	c.tokensPerEvent = 2
	is.True(!c.mustPace(noon, full))
	c.tokensPerEvent = 0
	is.True(c.mustPace(noon, full)) // unknown, so prompts are paced
}

func TestMoreUrgentPromptsGoFirst(t *testing.T) {
	is := is.New(t)
	between := Choice{Backlog: 60 * time.Millisecond, PrefillTime: 50 * time.Millisecond}
	is.True(!pacedCall(0).mustPace(noon, between))
	is.True(pacedCall(2).mustPace(noon, between))
}

// TestPromptsOfOtherGatewaysCount: if responses carry no load, a gateway alone would choose the
// same replica as all others.
func TestPromptsOfOtherGatewaysCount(t *testing.T) {
	is := is.New(t)
	f := newTestFleet("a", "b")
	f.SetLoads(wire.LoadReport{Loads: []wire.ReplicaLoad{{Replica: "a", Running: 3, UnreadMS: 300}}})
	want := Requirements{Service: "s", Model: "m", PromptLength: 500}
	is.Equal(countPicks(f, noon, want), map[string]int{"b": 50})
	f.peers["b"].failed(noon, true)
	is.Equal(f.Pick(noon, want, nil).Backlog, 300*time.Millisecond)
	is.True(countPicks(f, noon.Add(otherGatewaysLoadTTL), want)["a"] > 0) // an old report is ignored
}

// TestOwnRequestsAreNotCountedTwice: the totals include what this gateway reported.
func TestOwnRequestsAreNotCountedTwice(t *testing.T) {
	is := is.New(t)
	f := newTestFleet("a")
	f.peers["a"].startRequest(100 * time.Millisecond)
	is.Equal(f.Loads(), []wire.ReplicaLoad{{Replica: "a", Running: 1, UnreadMS: 100}})
	f.SetLoads(wire.LoadReport{Loads: []wire.ReplicaLoad{{Replica: "a", Running: 3, UnreadMS: 160}}})
	look := f.peers["a"].loadEstimate(noon)
	is.Equal(look.running, 3)
	is.Equal(look.backlog, 160*time.Millisecond)
	f.peers["a"].read(100 * time.Millisecond)
	f.peers["a"].finishRequest()
	look = f.peers["a"].loadEstimate(noon)
	is.Equal(look.running, 2)
	is.Equal(look.backlog, 60*time.Millisecond)
}

// TestARequestWhoseClientLeftWhileItWaitedReachesNoReplica: the wait ends at once.
func TestARequestWhoseClientLeftWhileItWaitedReachesNoReplica(t *testing.T) {
	is := is.New(t)
	a := newReplica(t, "a", whole)
	r := route(catalog.Streaming, 1)
	r.GapTarget = 100 * time.Millisecond
	r.Target = time.Minute
	b := newBench(t, r, a)
	is.Equal(b.do("POST", "earlier", "x", testModel+": m").status, 200) // leaves an idle connection
	b.fleet.peers["a"].startRequest(r.Target / 2)                       // would be in time, but with pauses for others
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan clientResponse, 1)
	go func() { ended <- b.doIn(ctx, "POST", "one", "x", testModel+": m") }()
	for b.handler.Running() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	is.True((<-ended).err != nil)
	for b.handler.Running() > 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(a.count(), 1)
}

// TestBacklogsOfReplicasThatTellTheirLoad: the load in responses does not include the prefill
// backlog.
func TestBacklogsOfReplicasThatTellTheirLoad(t *testing.T) {
	is := is.New(t)
	f := newTestFleet("a", "b")
	f.UpdateLoad(noon, f.peers["b"], Load{Known: true, Running: 1, Slots: 64})
	totals := loadview.NewBacklog()
	totals.Add(noon, []wire.Sent{{Replica: "a", ReadMS: 300}}, false)
	f.SetBacklogs(totals.Totals(noon))
	want := Requirements{Service: "s", Model: "m", PromptLength: 500}
	is.Equal(countPicks(f, noon, want), map[string]int{"b": 50})
	is.Equal(f.peers["a"].loadEstimate(noon).backlog, 300*time.Millisecond)
	is.Equal(f.peers["a"].loadEstimate(noon.Add(200*time.Millisecond)).backlog, 100*time.Millisecond) // the replica continues reading
	f.Sent(noon, f.peers["a"], "m", nil, 50*time.Millisecond)
	is.Equal(f.peers["a"].loadEstimate(noon).backlog, 350*time.Millisecond)
	is.Equal(f.DrainPrompts().Sent, []wire.Sent{{Replica: "a", ReadMS: 50}})
	is.Equal(len(f.DrainPrompts().Sent), 0)
}
