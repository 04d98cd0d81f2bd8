package exchange

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

var noon = time.Unix(1_800_000_000, 0)

// newTestFleet returns a fleet of replicas in zone z that hold model m.
func newTestFleet(ids ...string) *Fleet {
	f := NewFleet("z", Dial, nil, func() time.Time { return noon }, func() time.Time { return noon })
	var entries []registry.Entry
	for _, id := range ids {
		entries = append(entries, registry.Entry{Record: registry.Record{ID: id, Service: "s", Zone: "z", Slots: 64, Models: []registry.Held{{Name: "m", Adapters: []string{"a1"}}}}})
	}
	f.SetReplicas(registry.Changes{Entries: entries})
	return f
}

// countPicks counts how often each replica is chosen in 50 choices.
func countPicks(f *Fleet, now time.Time, want Requirements) map[string]int {
	chosen := map[string]int{}
	for range 50 {
		if c := f.Pick(now, want, nil); c.Peer != nil {
			chosen[c.Peer.ID()]++
		}
	}
	return chosen
}

func TestEveryKindOfLoadAffectsTheChoice(t *testing.T) {
	signs := map[string]func(p *Peer){
		"own requests":   func(p *Peer) { p.startRequest(200 * time.Millisecond) },
		"told load":      func(p *Peer) { p.updateLoad(noon, Load{Known: true, Running: 40, Waiting: 2, Slots: 64}) },
		"failures":       func(p *Peer) { p.failed(noon, false) },
		"no connection":  func(p *Peer) { p.failed(noon, true) },
		"absent adapter": func(p *Peer) { p.noteMissingCopy(noon, "m", "a1") },
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet("a", "b")
			sign(f.peers["a"])
			is.Equal(countPicks(f, noon.Add(100*time.Millisecond), Requirements{Service: "s", Model: "m", Adapter: "a1", PromptLength: 500}), map[string]int{"b": 50})
		})
	}
}

func TestOldReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	f := newTestFleet("a", "b")
	p := f.peers["a"]
	p.updateLoad(noon, Load{Known: true, Running: 40, Waiting: 2, Slots: 64})
	p.noteMissingCopy(noon, "m", "a1")
	chosen := countPicks(f, noon.Add(10*time.Second), Requirements{Service: "s", Model: "m", Adapter: "a1", PromptLength: 500})
	is.True(chosen["a"] > 0)
}

func TestReplicaWithCachedPartsIsPreferred(t *testing.T) {
	is := is.New(t)
	f := newTestFleet("a", "b")
	parts := []Part{{ID: "p", Tokens: 400}, {ID: "q", Tokens: 200}}
	f.Sent(noon, f.peers["b"], "m", parts, 0)
	is.Equal(countPicks(f, noon, Requirements{Service: "s", Model: "m", PromptLength: 1000, Parts: parts}), map[string]int{"b": 50})
	choice := f.Pick(noon, Requirements{Service: "s", Model: "m", PromptLength: 1000, Parts: parts}, nil)
	is.Equal(choice.PrefillTokens, 400) // the part that is not cached
	// A part counts as cached only if all parts before it are cached.
	is.Equal(f.Pick(noon, Requirements{Service: "s", Model: "m", PromptLength: 1000, Parts: []Part{{ID: "x", Tokens: 100}, {ID: "p", Tokens: 400}}}, nil).PrefillTokens, 1000)
}

func TestHoldingsOverrideReportedModels(t *testing.T) {
	is := is.New(t)
	f := newTestFleet("a", "b")
	f.SetHoldings(&wire.Holdings{Term: 1, Version: 1, Copies: []wire.Holding{
		{Replica: "a", Model: "m", Leaving: true},
		{Replica: "b", Model: "m", Adapter: "a2"},
	}})
	is.Equal(countPicks(f, noon, Requirements{Service: "s", Model: "m"}), map[string]int{"b": 50})
	is.Equal(countPicks(f, noon, Requirements{Service: "s", Model: "m", Adapter: "a2"}), map[string]int{"b": 50})
	is.Equal(f.Pick(noon, Requirements{Service: "s", Model: "n"}, nil).Verdict, ModelMissing)
	is.Equal(f.Pick(noon, Requirements{Service: "t"}, nil).Verdict, NoReplica)
}

func TestOnlyUsableReplicasAreChosen(t *testing.T) {
	is := is.New(t)
	f := NewFleet("z", Dial, nil, func() time.Time { return noon }, func() time.Time { return noon })
	base := registry.Record{Service: "s", Zone: "z", Slots: 4}
	record := func(id string) registry.Record { r := base; r.ID = id; return r }
	draining, gone := record("draining"), record("gone")
	draining.Draining, gone.Gone = true, true
	f.SetReplicas(registry.Changes{Entries: []registry.Entry{
		{Record: draining}, {Record: gone},
		{Record: record("silent"), Silent: true}, {Record: record("replaced"), Replaced: true}, {Record: record("sound")},
	}})
	is.Equal(countPicks(f, noon, Requirements{Service: "s"}), map[string]int{"sound": 50})
}

// TestLoadIsSharedOnlyWhereReplicasDoNotTellIt: otherwise each response carries the current load.
func TestLoadIsSharedOnlyWhereReplicasDoNotTellIt(t *testing.T) {
	is := is.New(t)
	f := newTestFleet("a", "b")
	f.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: registry.Record{ID: "silent", Service: "t", Slots: 4}}}})
	for _, id := range []string{"a", "silent"} {
		f.peers[id].startRequest(0)
		f.Sent(noon, f.peers[id], "m", nil, 0)
	}
	is.Equal(len(f.Loads()), 2)
	<-f.RequestSent()
	f.UpdateLoad(noon, f.peers["b"], Load{Known: true, Running: 1, Slots: 64})
	loads := f.Loads()
	is.Equal(len(loads), 1)
	is.Equal(loads[0].Replica, "silent")
	f.Sent(noon, f.peers["a"], "m", nil, 0)
	select {
	case <-f.RequestSent():
		t.Error("raised although the replicas report their load")
	default:
	}
}

// TestAnAdapterLeavesWithItsModel: requests for an adapter are not sent to a copy of its model that
// is being unloaded.
func TestAnAdapterLeavesWithItsModel(t *testing.T) {
	is := is.New(t)
	f := newTestFleet("a", "b")
	f.SetHoldings(&wire.Holdings{Term: 1, Version: 1, Copies: []wire.Holding{{Replica: "a", Model: "m", Leaving: true}}})
	is.Equal(countPicks(f, noon, Requirements{Service: "s", Model: "m", Adapter: "a1"}), map[string]int{"b": 50})
	f.SetHoldings(&wire.Holdings{Term: 1, Version: 2})
	is.Equal(len(countPicks(f, noon, Requirements{Service: "s", Model: "m", Adapter: "a1"})), 2)
}

// TestChangesOfAReplicaLeaveTheOthersAsTheyAre: after any changes the index equals one that is
// built from scratch.
func TestChangesOfAReplicaLeaveTheOthersAsTheyAre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := NewFleet("z", Dial, nil, func() time.Time { return noon }, func() time.Time { return noon })
		last := map[string]registry.Entry{}
		var holdings wire.Holdings
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "replica")
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				f.SetReplicas(registry.Changes{Removed: []string{id}})
				delete(last, id)
			case 1:
				holdings.Copies = nil
				for _, model := range []string{"m", "n"} {
					if rapid.Bool().Draw(t, "held") {
						holdings.Copies = append(holdings.Copies, wire.Holding{Replica: id, Model: model, Adapter: rapid.SampledFrom([]string{"", "a1"}).Draw(t, "adapter"), Leaving: rapid.Bool().Draw(t, "leaving")})
					}
				}
				f.SetHoldings(&holdings)
			default:
				e := drawEntry(t, id)
				f.SetReplicas(registry.Changes{Entries: []registry.Entry{e}})
				last[id] = e
			}
		}
		anew := NewFleet("z", Dial, nil, func() time.Time { return noon }, func() time.Time { return noon })
		for _, e := range last {
			anew.SetReplicas(registry.Changes{Entries: []registry.Entry{e}})
		}
		anew.SetHoldings(&holdings)
		for _, service := range []string{"s", "t"} {
			for _, held := range []copyKey{{}, {model: "m"}, {model: "n"}, {model: "m", adapter: "a1"}, {model: "n", adapter: "a1"}} {
				if got, want := indexedIDs(f, service, held), indexedIDs(anew, service, held); !slices.Equal(got, want) {
					t.Fatalf("%s %v: %v is listed, not %v", service, held, got, want)
				}
			}
		}
	})
}

func drawEntry(t *rapid.T, id string) registry.Entry {
	record := registry.Record{ID: id, Service: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service")}
	for _, model := range []string{"m", "n"} {
		if rapid.Bool().Draw(t, "has") {
			record.Models = append(record.Models, registry.Held{Name: model, Adapters: rapid.SampledFrom([][]string{nil, {"a1"}}).Draw(t, "adapters")})
		}
	}
	return registry.Entry{Record: record, Silent: rapid.IntRange(0, 3).Draw(t, "silent") == 0}
}

func indexedIDs(f *Fleet, service string, held copyKey) []string {
	var ids []string
	for _, c := range f.index.lookup(service, held) {
		ids = append(ids, c.peer.ID())
	}
	slices.Sort(ids)
	return ids
}
