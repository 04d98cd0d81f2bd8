package control

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/wire"
)

// A snapshot is taken, and the log truncated, after this many applied entries or bytes of entries.
const (
	snapshotEntryLimit = 8192
	snapshotByteLimit  = 8 << 20
)

// Replica combines the consensus core, disk and state machine of one control node. It has no
// goroutines and no clock of its own, and is not safe for concurrent use.
type Replica struct {
	core    *raft.Core
	state   *State
	disk    Disk
	ring    *event.Ring
	waiters map[uint64]waiter
	// pendingByKey maps the keys of pending commands to the entries that carry them.
	pendingByKey map[proposalKey]uint64
	// snapshot and applied are the log indexes of the last snapshot and the last applied entry. A
	// snapshot is due entryLimit entries after the last one.
	snapshot   uint64
	applied    uint64
	entryLimit uint64
	// unsnapshottedBytes is the size of the entries applied since the last snapshot.
	unsnapshottedBytes int
	lastRole           raft.Role
	lastFollowed       followedLeader
	hardState          raft.HardState
	changeIndex        changeIndex
	// publish makes applied entries visible to concurrent readers before the waiters for those
	// entries are answered. It is nil if there are no such readers.
	publish func()
	// renewedAt is when this control node applied the last lease renewal of each zone, by its own
	// clock.
	renewedAt map[string]time.Time
	// orderedAt is when this control node applied the last order of each kind for a zone, by its
	// own clock.
	orderedAt map[zoneCommand]time.Time
}

// waiter holds the callbacks for an entry that was proposed in a term.
type waiter struct {
	term uint64
	done []func(result, error)
	key  proposalKey
}

// errOverwritten means that another leader's entry replaced a proposal in the log.
var errOverwritten = errors.New("another leader's entry took the place")

// NewReplica returns a replica that continues from the durable state in start.
func NewReplica(id raft.ID, start raft.InitialState, disk Disk, options raft.Options, random *rand.Rand, ring *event.Ring, now time.Time) (*Replica, error) {
	state, err := RestoreState(start.Snapshot.Data)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		core:         raft.New(id, start, options, random, now),
		state:        state,
		disk:         disk,
		ring:         ring,
		waiters:      map[uint64]waiter{},
		pendingByKey: map[proposalKey]uint64{},
		snapshot:     start.Snapshot.Index,
		applied:      start.Snapshot.Index,
		entryLimit:   snapshotEntryLimit,
		hardState:    start.HardState,
		renewedAt:    map[string]time.Time{},
		orderedAt:    map[zoneCommand]time.Time{},
		changeIndex:  newChangeIndex(state, start.Snapshot.Index),
	}
	r.recover(now)
	return r, nil
}

// recover applies everything that the disk knows to be committed, so that nobody is told an older state
// than that, not even before the first iteration of the event loop.
func (r *Replica) recover(now time.Time) {
	for {
		entries := r.core.RecoverCommitted()
		if len(entries) == 0 {
			break
		}
		r.apply(now, entries)
	}
	r.resetTimestamps(now)
}

// Core returns the consensus core.
func (r *Replica) Core() *raft.Core { return r.core }

// State returns the state machine.
func (r *Replica) State() *State { return r.state }

// resetTimestamps treats every lease as renewed and every zone order as given now. The real times
// are not known after a restart or a snapshot, and waiting longer than necessary is safe.
func (r *Replica) resetTimestamps(now time.Time) {
	for _, order := range r.state.zones.changeOrders() {
		r.orderedAt[order] = now
	}
	for zone := range r.state.renewed {
		r.renewedAt[zone] = now
	}
}

// Propose proposes an encoded command. done is called once, with the command's result or an error
// such as errOverwritten.
func (r *Replica) Propose(now time.Time, data []byte, done func(result, error)) {
	r.propose(now, proposalKey{}, data, done)
}

// propose is Propose for a command with a key. It reports whether the command has been proposed.
func (r *Replica) propose(now time.Time, key proposalKey, data []byte, done func(result, error)) bool {
	term, index, err := r.core.Propose(now, data)
	if err != nil {
		done(result{}, err)
		return false
	}
	r.waiters[index] = waiter{term: term, key: key, done: []func(result, error){done}}
	if key != (proposalKey{}) {
		r.pendingByKey[key] = index
	}
	return true
}

// ProposeMembers proposes a membership change.
func (r *Replica) ProposeMembers(now time.Time, members raft.Members, done func(result, error)) {
	term, index, err := r.core.ProposeMembers(now, members)
	if err != nil {
		done(result{}, err)
		return
	}
	r.waiters[index] = waiter{term: term, done: []func(result, error){done}}
}

// Advance applies committed entries. It returns the messages that may be sent now and the next
// write, which is nil if there is nothing to write or a write is in progress. The caller performs
// the write and then calls Written.
func (r *Replica) Advance(now time.Time) ([]raft.Message, *write, error) {
	var out []raft.Message
	// A due snapshot takes precedence, because under load there may always be something else to
	// write.
	next, err := r.beginSnapshot(now)
	if err != nil {
		return nil, nil, err
	}
	for {
		ready := r.core.Ready(now)
		if ready.Empty() {
			break
		}
		if ready.Writes() {
			r.hardState = *ready.HardState
			next = &write{ready: ready}
		}
		out = append(out, ready.Messages...)
		r.apply(now, ready.Committed)
	}
	r.logRoleChange()
	r.logLeaderChange()
	return out, next, nil
}

// Written records that a write returned by Advance is durable.
func (r *Replica) Written(now time.Time, finished *write) error {
	if finished.localSnapshot != nil {
		r.core.Compact(now, *finished.localSnapshot)
		r.snapshot = finished.localSnapshot.Index
		r.unsnapshottedBytes -= finished.coveredBytes
		r.ring.Add(event.Event{Kind: event.SnapshotSaved, Host: string(r.core.ID())})
		return nil
	}
	if finished.ready.Snapshot != nil {
		if err := r.restore(now, *finished.ready.Snapshot); err != nil {
			return err
		}
	}
	r.core.Persisted(now, finished.ready)
	return nil
}

// restore replaces the state with a snapshot received from the leader.
func (r *Replica) restore(now time.Time, snapshot raft.Snapshot) error {
	state, err := RestoreState(snapshot.Data)
	if err != nil {
		return err
	}
	r.state = state
	r.changeIndex = newChangeIndex(state, snapshot.Index)
	r.snapshot = snapshot.Index
	r.applied = snapshot.Index
	r.unsnapshottedBytes = 0
	r.resetTimestamps(now)
	r.ring.Add(event.Event{Kind: event.SnapshotReceived, Host: string(r.core.ID())})
	return nil
}

func (r *Replica) apply(now time.Time, entries []raft.Entry) {
	results := make([]result, len(entries))
	for i, entry := range entries {
		applied := r.state.Apply(entry)
		applied.index = entry.Index
		results[i] = applied
		r.changeIndex.record(r.state.document.Version, applied)
		r.applied = entry.Index
		r.unsnapshottedBytes += len(entry.Data)
		if applied.renewed != "" {
			r.renewedAt[applied.renewed] = now
		}
		if applied.zoneOrder != nil {
			r.orderedAt[applied.zoneOrder.withoutBase()] = now
		}
		if entry.Kind == raft.EntryMembers {
			r.ring.Add(event.Event{Kind: event.VoterChanged, Reason: membersText(*entry.Members)})
		}
	}
	if len(entries) > 0 && r.publish != nil {
		r.publish()
	}
	for i, entry := range entries {
		r.completeWaiter(entry, results[i])
	}
}

func (r *Replica) completeWaiter(entry raft.Entry, applied result) {
	waiters, found := r.waiters[entry.Index]
	if !found {
		return
	}
	r.removeWaiters(entry.Index)
	if waiters.term != entry.Term {
		waiters.complete(result{}, errOverwritten)
		return
	}
	waiters.complete(applied, nil)
}

// snapshotDue reports whether enough entries have been applied since the last snapshot.
func (r *Replica) snapshotDue() bool {
	return r.applied > r.snapshot && (r.applied-r.snapshot >= r.entryLimit || r.unsnapshottedBytes >= snapshotByteLimit)
}

// beginSnapshot returns the write of a snapshot of the applied state, nil if no snapshot is due or
// another write is in progress.
func (r *Replica) beginSnapshot(now time.Time) (*write, error) {
	if !r.snapshotDue() || !r.core.BeginCompact(now) {
		return nil, nil
	}
	data, err := r.state.Save()
	if err != nil {
		return nil, err
	}
	snapshot := raft.Snapshot{
		Term:    r.core.TermAt(r.applied),
		Index:   r.applied,
		Members: r.core.MembersAt(r.applied),
		Data:    data,
	}
	entriesAfter := r.core.EntriesAfter(r.applied)
	return &write{localSnapshot: &snapshot, state: r.hardState, entriesAfter: entriesAfter, coveredBytes: r.unsnapshottedBytes}, nil
}

func (r *Replica) logRoleChange() {
	role := r.core.Role()
	if role == r.lastRole {
		return
	}
	if role == raft.Leader {
		r.ring.Add(event.Event{Kind: event.LeaderElected, Host: string(r.core.ID())})
	}
	if r.lastRole == raft.Leader {
		r.ring.Add(event.Event{Kind: event.LeaderLost, Host: string(r.core.ID())})
		r.abandonWaiters()
	}
	r.lastRole = role
}

// followedLeader is the leader that a control node follows in a term, "" for none.
type followedLeader struct {
	term   uint64
	leader raft.ID
}

// logLeaderChange logs the followed leader and the applied state when the leader has changed. The
// log lines of all nodes together show who followed whom at any moment.
func (r *Replica) logLeaderChange() {
	followed := followedLeader{term: r.core.Term(), leader: r.core.Leader()}
	if followed == r.lastFollowed {
		return
	}
	r.lastFollowed = followed
	leader := "none"
	if followed.leader != "" {
		leader = string(followed.leader)
	}
	r.ring.Add(event.Event{Kind: event.LeaderSeen, Host: string(r.core.ID()), Reason: fmt.Sprintf(
		"leader %s in term %d, configuration %d applied, entry %d committed of %d",
		leader, followed.term, r.state.document.Version, r.core.Commit(), r.core.LastIndex())})
}

// abandonWaiters reports an unknown outcome to all waiters, whose proposals may still be committed.
func (r *Replica) abandonWaiters() {
	for index, waiters := range r.waiters {
		r.removeWaiters(index)
		waiters.complete(result{outcome: wire.Unknown}, nil)
	}
}

func membersText(members raft.Members) string {
	text := "voters"
	for _, id := range members.Voters {
		text += " " + string(id)
	}
	for _, id := range members.Learners {
		text += " learner " + string(id)
	}
	return text
}
