package control

import (
	"time"

	"github.com/moorspool/moorspool/src/wire"
)

// proposalKey tells copies of a command: the version of a configuration, or a zone with what is
// ordered for it. The zero key is of commands that have none.
type proposalKey struct {
	version uint64
	zone    string
	drain   bool
}

// opposite returns the key of the order that undoes that of a key.
func (k proposalKey) opposite() proposalKey {
	k.drain = !k.drain
	return k
}

// proposeOnce hands a command to consensus, or waits for the copy of it that is under way: an entry
// more would begin a write that what comes after the first one has to wait for. What comes after the
// opposite order is no copy.
func (r *Replica) proposeOnce(now time.Time, key proposalKey, data []byte, done func(result, error)) {
	if index, again := r.proposed[key]; again && r.underWay(index) && r.waiting[index].key == key {
		r.join(index, done)
		return
	}
	if r.propose(now, key, data, done) && key.zone != "" {
		delete(r.proposed, key.opposite())
	}
}

// proposeSettling makes what is applied up to an index settled, by an entry under way that does so
// or an empty one.
func (r *Replica) proposeSettling(now time.Time, index uint64, done func(result, error)) {
	by := r.core.SettledBy(index)
	if !r.underWay(by) {
		r.Propose(now, nil, done)
		return
	}
	r.join(by, func(applied result, err error) {
		if err == nil && applied.outcome != wire.Unknown {
			// Whatever became of the entry's own command, it is committed.
			applied = result{outcome: wire.Accepted}
		}
		done(applied, err)
	})
}

// underWay reports whether somebody waits for an entry that this node proposed in the present term: a
// node that led an earlier one may have proposed another command in its place.
func (r *Replica) underWay(index uint64) bool {
	waiting, waited := r.waiting[index]
	return waited && waiting.term == r.core.Term()
}

// join waits for an entry that others wait for.
func (r *Replica) join(index uint64, done func(result, error)) {
	waiting := r.waiting[index]
	waiting.done = append(waiting.done, done)
	r.waiting[index] = waiting
}

// forget ends the wait for an entry.
func (r *Replica) forget(index uint64) {
	if key := r.waiting[index].key; r.proposed[key] == index {
		delete(r.proposed, key)
	}
	delete(r.waiting, index)
}

// tell tells all that wait.
func (w waiter) tell(applied result, err error) {
	for _, done := range w.done {
		done(applied, err)
	}
}
