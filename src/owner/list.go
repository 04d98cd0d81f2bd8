package owner

import (
	"cmp"
	"slices"

	"github.com/moorspool/moorspool/src/wire"
)

// maxListedGroups bounds the groups of a list.
const maxListedGroups = 256

// List returns what waits and what has places, those with most waiting requests first, and the
// refusals of the last seconds.
func (q *Queues) List() ([]wire.QueueGroup, []wire.QueueRefusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	groups := q.groups()
	slices.SortFunc(groups, func(a, b wire.QueueGroup) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(b.Places, a.Places), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Model, b.Model), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Account, b.Account))
	})
	return groups[:min(len(groups), maxListedGroups)], q.refusals()
}

// groups returns the requests by model, route and account; the lock is held.
func (q *Queues) groups() []wire.QueueGroup {
	now := q.options.Now()
	byKey := map[wire.QueueGroup]*wire.QueueGroup{}
	for _, p := range q.places {
		key := wire.QueueGroup{Service: p.key.Service, Model: p.key.Model, Route: p.kind, Account: p.account}
		group := byKey[key]
		if group == nil {
			group = &wire.QueueGroup{Service: key.Service, Model: key.Model, Route: key.Route, Account: key.Account}
			byKey[key] = group
		}
		if p.replica != "" {
			group.Places++
			continue
		}
		group.Waiting++
		group.OldestMS = max(group.OldestMS, now.Sub(p.since).Milliseconds())
	}
	groups := make([]wire.QueueGroup, 0, len(byKey))
	for _, group := range byKey {
		groups = append(groups, *group)
	}
	return groups
}

// refusals returns the refusals of the last seconds, by service in the order of their numbers; the
// lock is held.
func (q *Queues) refusals() []wire.QueueRefusal {
	now := q.options.Now()
	var list []wire.QueueRefusal
	for name, s := range q.services {
		for _, r := range s.queue.Snapshot(now).Refusals {
			list = append(list, wire.QueueRefusal{Service: name, Route: r.Kind, Account: r.Account, Reason: string(r.Reason), InFavour: r.InFavour, Count: r.Count})
		}
	}
	slices.SortStableFunc(list, func(a, b wire.QueueRefusal) int { return cmp.Compare(b.Count, a.Count) })
	return list
}
