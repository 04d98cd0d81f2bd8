package control

import (
	"time"

	"github.com/moorspool/moorspool/src/wire"
)

// proposalKey identifies copies of a command, either by configuration version or by a zone and its
// requested drain state. Commands without copies have the zero key.
type proposalKey struct {
	version uint64
	zone    string
	drain   bool
}

// opposite returns the key of the order that reverses the order of this key.
func (k proposalKey) opposite() proposalKey {
	k.drain = !k.drain
	return k
}

// proposeOnce proposes a command, or waits for a pending copy of it: another entry would start a
// write that everything after the first copy has to wait for. A command that follows the opposite
// order is not a copy.
func (r *Replica) proposeOnce(now time.Time, key proposalKey, data []byte, done func(result, error)) {
	if index, again := r.pendingByKey[key]; again && r.isPending(index) && r.waiters[index].key == key {
		r.addWaiter(index, done)
		return
	}
	if r.propose(now, key, data, done) && key.zone != "" {
		delete(r.pendingByKey, key.opposite())
	}
}

// proposeSettling settles everything applied up to an index, by a pending entry that does so or
// else by an empty one.
func (r *Replica) proposeSettling(now time.Time, index uint64, done func(result, error)) {
	settlingIndex := r.core.SettledBy(index)
	if !r.isPending(settlingIndex) {
		r.Propose(now, nil, done)
		return
	}
	r.addWaiter(settlingIndex, func(applied result, err error) {
		if err == nil && applied.outcome != wire.Unknown {
			// The entry is committed, whatever the result of its own command.
			applied = result{outcome: wire.Accepted}
		}
		done(applied, err)
	})
}

// isPending reports whether an entry that this node proposed in the current term has waiters. An
// entry of an earlier term may have been replaced by another command at the same index.
func (r *Replica) isPending(index uint64) bool {
	waiters, waited := r.waiters[index]
	return waited && waiters.term == r.core.Term()
}

// addWaiter waits for an entry that already has waiters.
func (r *Replica) addWaiter(index uint64, done func(result, error)) {
	waiters := r.waiters[index]
	waiters.done = append(waiters.done, done)
	r.waiters[index] = waiters
}

// removeWaiters removes all waiters of an entry.
func (r *Replica) removeWaiters(index uint64) {
	if key := r.waiters[index].key; r.pendingByKey[key] == index {
		delete(r.pendingByKey, key)
	}
	delete(r.waiters, index)
}

// complete passes the result to all callbacks.
func (w waiter) complete(applied result, err error) {
	for _, done := range w.done {
		done(applied, err)
	}
}
