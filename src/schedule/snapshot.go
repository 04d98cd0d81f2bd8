package schedule

import (
	"cmp"
	"slices"
	"time"
)

// Snapshot is what operators see of a queue.
type Snapshot struct {
	Waiting, Places int
	// Slots are the slots of all replicas, Taken those that are in use.
	Slots, Taken int
	// OldestWait is how long the oldest waiting request has waited.
	OldestWait time.Duration
	// Groups are the requests by account and kind, those with most waiting requests first.
	Groups []Group
	// Refusals are the refusals of the last seconds, the most frequent ones first.
	Refusals []RefusalCount
}

// Group are the requests of one account and kind.
type Group struct {
	Account, Kind   string
	Waiting, Places int
	OldestWait      time.Duration
}

// RefusalCount is how often requests of an account and kind were refused for one reason.
type RefusalCount struct {
	Account, Kind string
	Reason        Reason
	// InFavour is the kind of the requests that got the room, "" if none in particular did.
	InFavour string
	Count    int
}

const (
	// maxGroups bounds the groups of a snapshot.
	maxGroups = 64
	// maxRefusalCounts bounds the refusals of a snapshot.
	maxRefusalCounts = 64
)

// Snapshot returns what waits and what was refused in the last seconds.
func (q *Queue) Snapshot(now time.Time) Snapshot {
	s := Snapshot{Waiting: len(q.waiting), Places: len(q.places)}
	for _, r := range q.replicas {
		s.Slots += r.state.Slots
		s.Taken += r.used()
	}
	for _, w := range q.waiting {
		s.OldestWait = max(s.OldestWait, now.Sub(w.since))
	}
	s.Groups = q.groups(now)
	s.Refusals = q.refusals.list(now)
	return s
}

// groups returns the requests by account and kind.
func (q *Queue) groups(now time.Time) []Group {
	byKey := map[promiseKey]*Group{}
	group := func(w *waitingRequest) *Group {
		key := promiseKey{w.request.Account, w.request.Kind}
		if byKey[key] == nil {
			byKey[key] = &Group{Account: key.account, Kind: key.kind}
		}
		return byKey[key]
	}
	for _, w := range q.waiting {
		g := group(w)
		g.Waiting++
		g.OldestWait = max(g.OldestWait, now.Sub(w.since))
	}
	for _, p := range q.places {
		group(p.request).Places++
	}
	groups := make([]Group, 0, len(byKey))
	for _, g := range byKey {
		groups = append(groups, *g)
	}
	slices.SortFunc(groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.Places, a.Places), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Kind, b.Kind))
	})
	return groups[:min(len(groups), maxGroups)]
}

// list returns the refusals of the last seconds.
func (f *refusals) list(now time.Time) []RefusalCount {
	sums := map[refusalKey]int{}
	for _, s := range f.recent {
		if s.second <= now.Unix()-refusalSeconds {
			continue
		}
		for key, count := range s.counts {
			sums[key] += count
		}
	}
	counts := make([]RefusalCount, 0, len(sums))
	for key, count := range sums {
		counts = append(counts, RefusalCount{Account: key.account, Kind: key.kind, Reason: key.reason, InFavour: key.inFavour, Count: count})
	}
	slices.SortFunc(counts, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.InFavour, b.InFavour))
	})
	return counts[:min(len(counts), maxRefusalCounts)]
}
