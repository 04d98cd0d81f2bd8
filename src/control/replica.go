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

// The log is cut by a snapshot after so many applied entries or bytes of them.
const (
	snapshotEvery = 8192
	snapshotBytes = 8 << 20
)

// Replica is one control node's consensus, disk and state machine, without goroutines
// and without a clock of its own. It is not safe for concurrent use.
type Replica struct {
	core    *raft.Core
	state   *State
	disk    Disk
	ring    *event.Ring
	waiting map[uint64]waiter
	// proposed are the entries under way that copies of their commands wait for.
	proposed map[proposalKey]uint64
	snapshot uint64
	applied  uint64
	every    uint64
	// unsaved is the size of the entries applied since the last snapshot.
	unsaved   int
	lastRole  raft.Role
	lastSeen  leaderSeen
	hardState raft.HardState
	changes   changes
	// publish makes what was applied known to readers before those that wait for it are
	// answered; nil if nobody reads beside the loop.
	publish func()
	// renewedAt is when this control node saw a zone's lease renewed, by its own clock.
	renewedAt map[string]time.Time
	// orderedAt is when this control node applied the last order of each kind about a zone, by
	// its own clock.
	orderedAt map[zoneCommand]time.Time
}

// waiter is those that wait for an entry of a term.
type waiter struct {
	term uint64
	done []func(result, error)
	key  proposalKey
}

// errOvertaken means that another leader's entry took a proposal's place.
var errOvertaken = errors.New("another leader's entry took the place")

// NewReplica returns a replica that goes on from what its disk held.
func NewReplica(id raft.ID, start raft.Start, disk Disk, options raft.Options, random *rand.Rand, ring *event.Ring, now time.Time) (*Replica, error) {
	state, err := RestoreState(start.Snapshot.Data)
	if err != nil {
		return nil, err
	}
	r := &Replica{
		core:      raft.New(id, start, options, random, now),
		state:     state,
		disk:      disk,
		ring:      ring,
		waiting:   map[uint64]waiter{},
		proposed:  map[proposalKey]uint64{},
		snapshot:  start.Snapshot.Index,
		applied:   start.Snapshot.Index,
		every:     snapshotEvery,
		hardState: start.HardState,
		renewedAt: map[string]time.Time{},
		orderedAt: map[zoneCommand]time.Time{},
		changes:   newChanges(state, start.Snapshot.Index),
	}
	r.stampAll(now)
	return r, nil
}

// Core returns the consensus core.
func (r *Replica) Core() *raft.Core { return r.core }

// State returns the state machine.
func (r *Replica) State() *State { return r.state }

// stampAll counts every lease as renewed and every zone order as given just now: how long ago
// it really was is not known after a restart or a snapshot, and waiting longer is safe.
func (r *Replica) stampAll(now time.Time) {
	for _, order := range r.state.zones.given() {
		r.orderedAt[order] = now
	}
	for zone := range r.state.renewed {
		r.renewedAt[zone] = now
	}
}

// Propose hands a command to consensus; done is called once, with its result or
// with errOvertaken.
func (r *Replica) Propose(now time.Time, data []byte, done func(result, error)) {
	r.propose(now, proposalKey{}, data, done)
}

// propose is Propose of a command with a key; it reports whether the command is under way.
func (r *Replica) propose(now time.Time, key proposalKey, data []byte, done func(result, error)) bool {
	term, index, err := r.core.Propose(now, data)
	if err != nil {
		done(result{}, err)
		return false
	}
	r.waiting[index] = waiter{term: term, key: key, done: []func(result, error){done}}
	if key != (proposalKey{}) {
		r.proposed[key] = index
	}
	return true
}

// ProposeMembers hands a change of members to consensus.
func (r *Replica) ProposeMembers(now time.Time, members raft.Members, done func(result, error)) {
	term, index, err := r.core.ProposeMembers(now, members)
	if err != nil {
		done(result{}, err)
		return
	}
	r.waiting[index] = waiter{term: term, done: []func(result, error){done}}
}

// Advance applies what is committed and returns the messages that may be sent now and what is to be
// written, nil if there is nothing or a write is under way. Whoever writes it calls Written then.
func (r *Replica) Advance(now time.Time) ([]raft.Message, *write, error) {
	var out []raft.Message
	// A snapshot that is due goes first: there may be something else to write at all times.
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
	r.noteRole()
	r.noteLeader()
	return out, next, nil
}

// Written takes in that a write of Advance is durable.
func (r *Replica) Written(now time.Time, done *write) error {
	if done.own != nil {
		r.core.Compact(now, *done.own)
		r.snapshot = done.own.Index
		r.unsaved -= done.covers
		r.ring.Add(event.Event{Kind: event.SnapshotSaved, Host: string(r.core.ID())})
		return nil
	}
	if done.ready.Snapshot != nil {
		if err := r.restore(now, *done.ready.Snapshot); err != nil {
			return err
		}
	}
	r.core.Persisted(now, done.ready)
	return nil
}

// restore replaces the state by that of the leader's snapshot.
func (r *Replica) restore(now time.Time, snapshot raft.Snapshot) error {
	state, err := RestoreState(snapshot.Data)
	if err != nil {
		return err
	}
	r.state = state
	r.changes = newChanges(state, snapshot.Index)
	r.snapshot = snapshot.Index
	r.applied = snapshot.Index
	r.unsaved = 0
	r.stampAll(now)
	r.ring.Add(event.Event{Kind: event.SnapshotReceived, Host: string(r.core.ID())})
	return nil
}

func (r *Replica) apply(now time.Time, entries []raft.Entry) {
	results := make([]result, len(entries))
	for i, entry := range entries {
		applied := r.state.Apply(entry)
		applied.index = entry.Index
		results[i] = applied
		r.changes.note(r.state.document.Version, applied)
		r.applied = entry.Index
		r.unsaved += len(entry.Data)
		if applied.renewed != "" {
			r.renewedAt[applied.renewed] = now
		}
		if applied.ordered != nil {
			r.orderedAt[applied.ordered.kind()] = now
		}
		if entry.Kind == raft.EntryMembers {
			r.ring.Add(event.Event{Kind: event.VoterChanged, Reason: membersText(*entry.Members)})
		}
	}
	if len(entries) > 0 && r.publish != nil {
		r.publish()
	}
	for i, entry := range entries {
		r.finish(entry, results[i])
	}
}

func (r *Replica) finish(entry raft.Entry, applied result) {
	waiting, found := r.waiting[entry.Index]
	if !found {
		return
	}
	r.forget(entry.Index)
	if waiting.term != entry.Term {
		waiting.tell(result{}, errOvertaken)
		return
	}
	waiting.tell(applied, nil)
}

// snapshotDue reports whether enough was applied since the last snapshot.
func (r *Replica) snapshotDue() bool {
	return r.applied > r.snapshot && (r.applied-r.snapshot >= r.every || r.unsaved >= snapshotBytes)
}

// beginSnapshot returns the write of a snapshot of all that is applied, nil if none is due or the
// disk has another write.
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
	after := r.core.EntriesAfter(r.applied)
	return &write{own: &snapshot, state: r.hardState, after: after, covers: r.unsaved}, nil
}

func (r *Replica) noteRole() {
	role := r.core.Role()
	if role == r.lastRole {
		return
	}
	if role == raft.Leader {
		r.ring.Add(event.Event{Kind: event.LeaderElected, Host: string(r.core.ID())})
	}
	if r.lastRole == raft.Leader {
		r.ring.Add(event.Event{Kind: event.LeaderLost, Host: string(r.core.ID())})
		r.abandon()
	}
	r.lastRole = role
}

// leaderSeen is which leader a control node follows, "" for none, and in which term.
type leaderSeen struct {
	term   uint64
	leader raft.ID
}

// noteLeader logs which leader the node follows when that has changed, with what it has
// applied, so that the nodes' lines together show for each moment who was led by whom.
func (r *Replica) noteLeader() {
	seen := leaderSeen{term: r.core.Term(), leader: r.core.Leader()}
	if seen == r.lastSeen {
		return
	}
	r.lastSeen = seen
	leader := "none"
	if seen.leader != "" {
		leader = string(seen.leader)
	}
	r.ring.Add(event.Event{Kind: event.LeaderSeen, Host: string(r.core.ID()), Reason: fmt.Sprintf(
		"leader %s in term %d, configuration %d applied, entry %d committed of %d",
		leader, seen.term, r.state.document.Version, r.core.Commit(), r.core.LastIndex())})
}

// abandon answers all that wait: what they proposed may still be committed.
func (r *Replica) abandon() {
	for index, waiting := range r.waiting {
		r.forget(index)
		waiting.tell(result{outcome: wire.Unknown}, nil)
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
