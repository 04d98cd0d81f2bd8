package control

import (
	"time"

	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/wire"
)

// view is an immutable copy of what a control node knew after one loop iteration. Readers of the
// version, members or leader use it instead of calling into the event loop, because thousands of
// such reads a second, as when all gateways reconnect, would delay consensus.
type view struct {
	document   document
	members    raft.Members
	leader     raft.ID
	term       uint64
	ledSince   time.Time
	extensions map[string]float64
	drains     *wire.ZoneDrains
	quorum     Quorum
	// readLeaseUntil is until when the node may treat its applied state as the newest, the zero time
	// if it may not; see raft.Core.HasReadLease.
	readLeaseUntil time.Time
	// confirmedAt is when a leader last confirmed that nothing newer is committed.
	confirmedAt time.Time
	// writeBegan is when the write in progress was started, the zero time if there is none.
	writeBegan time.Time
}

// viewOf returns a view of a replica's current state.
func viewOf(r *Replica, now time.Time) *view {
	return &view{
		document:       r.state.document,
		members:        r.core.Members(),
		leader:         r.core.Leader(),
		term:           r.core.Term(),
		ledSince:       r.core.LeaderSince(),
		extensions:     r.state.extensions,
		drains:         r.state.drains,
		quorum:         quorumOf(r, now),
		readLeaseUntil: r.core.ReadLeaseUntil(),

		confirmedAt: r.core.ConfirmedAt(),
		writeBegan:  r.core.WriteStartedAt(),
	}
}

// hasReadLease reports whether the applied state is guaranteed to be the newest accepted one.
func (v *view) hasReadLease(now time.Time) bool { return now.Before(v.readLeaseUntil) }

// confirmed returns when the applied state was last known to be the newest accepted one, the zero
// time if never.
func (v *view) confirmed(now time.Time) time.Time {
	switch {
	case v.hasReadLease(now):
		return now
	case v.readLeaseUntil.After(v.confirmedAt):
		return v.readLeaseUntil
	}
	return v.confirmedAt
}

// appliedDocument returns the document that the node has applied.
func (v *view) appliedDocument() wire.Document {
	return wire.Document{Known: v.document.Version > 0, Version: v.document.Version, Packed: v.document.Packed}
}
