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

// Disk is what a replica needs of its data folder; tests put faults in its functions.
type Disk struct {
	// Save makes hard state and entries durable before it returns.
	Save func(state *raft.HardState, entries []raft.Entry) error
	// SaveSnapshot makes a snapshot durable and drops what it covers.
	SaveSnapshot func(snapshot raft.Snapshot, state raft.HardState, after []raft.Entry) error
}

// Replica is one control node's consensus, disk and state machine, without goroutines
// and without a clock of its own. It is not safe for concurrent use.
type Replica struct {
	core     *raft.Core
	state    *State
	disk     Disk
	ring     *event.Ring
	waiting  map[uint64]waiter
	snapshot uint64
	applied  uint64
	every    uint64
	// unsaved is the size of the entries applied since the last snapshot.
	unsaved   int
	lastRole  raft.Role
	lastSeen  leaderSeen
	hardState raft.HardState
	// publish makes what was applied known to readers before those that wait for it are
	// answered; nil if nobody reads beside the loop.
	publish func()
	// renewedAt is when this control node saw a zone's lease renewed, by its own clock.
	renewedAt map[string]time.Time
	// orderedAt is when this control node applied the last order of each kind about a zone, by
	// its own clock.
	orderedAt map[zoneCommand]time.Time
}

type waiter struct {
	term uint64
	done func(result, error)
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
		snapshot:  start.Snapshot.Index,
		applied:   start.Snapshot.Index,
		every:     snapshotEvery,
		hardState: start.HardState,
		renewedAt: map[string]time.Time{},
		orderedAt: map[zoneCommand]time.Time{},
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
	term, index, err := r.core.Propose(now, data)
	if err != nil {
		done(result{}, err)
		return
	}
	r.waiting[index] = waiter{term: term, done: done}
}

// ProposeMembers hands a change of members to consensus.
func (r *Replica) ProposeMembers(now time.Time, members raft.Members, done func(result, error)) {
	term, index, err := r.core.ProposeMembers(now, members)
	if err != nil {
		done(result{}, err)
		return
	}
	r.waiting[index] = waiter{term: term, done: done}
}

// Flush writes what must be durable, applies what is committed and returns the
// messages that may be sent now. After an error the replica must not be used.
func (r *Replica) Flush(now time.Time) ([]raft.Message, error) {
	var out []raft.Message
	for {
		ready := r.core.Ready()
		if ready.Empty() {
			break
		}
		if err := r.persist(now, ready); err != nil {
			return nil, err
		}
		r.core.Persisted(now, ready)
		out = append(out, ready.Messages...)
		r.apply(now, ready.Committed)
	}
	if err := r.maybeSnapshot(); err != nil {
		return nil, err
	}
	r.noteRole()
	r.noteLeader()
	return out, nil
}

func (r *Replica) persist(now time.Time, ready raft.Ready) error {
	if ready.HardState != nil {
		r.hardState = *ready.HardState
	}
	if ready.Snapshot != nil {
		return r.takeSnapshot(now, ready)
	}
	return r.disk.Save(ready.HardState, ready.Entries)
}

// takeSnapshot replaces disk and state by the leader's snapshot.
func (r *Replica) takeSnapshot(now time.Time, ready raft.Ready) error {
	if err := r.disk.SaveSnapshot(*ready.Snapshot, r.hardState, ready.Entries); err != nil {
		return err
	}
	state, err := RestoreState(ready.Snapshot.Data)
	if err != nil {
		return err
	}
	r.state = state
	r.snapshot = ready.Snapshot.Index
	r.applied = ready.Snapshot.Index
	r.unsaved = 0
	r.stampAll(now)
	r.ring.Add(event.Event{Kind: event.SnapshotReceived, Host: string(r.core.ID())})
	return nil
}

func (r *Replica) apply(now time.Time, entries []raft.Entry) {
	results := make([]result, len(entries))
	for i, entry := range entries {
		applied := r.state.Apply(entry)
		results[i] = applied
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
	delete(r.waiting, entry.Index)
	if waiting.term != entry.Term {
		waiting.done(result{}, errOvertaken)
		return
	}
	waiting.done(applied, nil)
}

func (r *Replica) maybeSnapshot() error {
	if r.applied == r.snapshot || r.applied-r.snapshot < r.every && r.unsaved < snapshotBytes {
		return nil
	}
	return r.saveSnapshot()
}

func (r *Replica) saveSnapshot() error {
	data, err := r.state.Save()
	if err != nil {
		return err
	}
	snapshot := raft.Snapshot{
		Term:    r.core.TermAt(r.applied),
		Index:   r.applied,
		Members: r.core.MembersAt(r.applied),
		Data:    data,
	}
	after := r.core.EntriesAfter(r.applied)
	if err := r.disk.SaveSnapshot(snapshot, r.hardState, after); err != nil {
		return err
	}
	r.core.Compact(snapshot)
	r.snapshot = r.applied
	r.unsaved = 0
	r.ring.Add(event.Event{Kind: event.SnapshotSaved, Host: string(r.core.ID())})
	return nil
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
		delete(r.waiting, index)
		waiting.done(result{outcome: wire.Unknown}, nil)
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
