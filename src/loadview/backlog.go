package loadview

import (
	"encoding/binary"
	"hash/fnv"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
)

const (
	// longestBacklogPause is the most time between two rounds of backlogs: below the
	// 120 ms that reading a prompt takes on the users' engines. Each round wakes every
	// gateway: with 40 ms a day with trouble at 295 gateways took 763 s of processor time
	// in 55 s of traffic, and 597 s in 67 s without backlogs.
	longestBacklogPause = 90 * time.Millisecond
	// BacklogJoin is how long a gateway's or control node's sends wait for others.
	BacklogJoin = 5 * time.Millisecond
	// leastBacklog is the backlog from which a replica is told of: with less it is
	// about to be idle when the word arrives.
	leastBacklog = 30 * time.Millisecond
	// mostBacklog bounds the backlog that is kept of one replica: an estimate that
	// runs away must not close it for good.
	mostBacklog = 2 * time.Second
)

// BacklogPause is the least time between two rounds of backlogs.
func BacklogPause(gateways, replicas int) time.Duration {
	return min(Pause(gateways, replicas), longestBacklogPause)
}

// Backlog estimates until when each replica reads the prompts that all gateways have
// sent it. A prompt adds its reading time, and time takes it off: nothing need be told
// when a prompt has been read. It is safe for concurrent use.
type Backlog struct {
	mu      sync.Mutex
	readAt  map[string]time.Time
	own     []wire.Sent
	changed wakeup.Flag
	// passable delivers when there is something to pass on.
	passable wakeup.Flag
}

// NewBacklog returns an empty backlog.
func NewBacklog() *Backlog {
	return &Backlog{readAt: map[string]time.Time{}, changed: wakeup.New(), passable: wakeup.New()}
}

// Add takes in prompts that were sent; own says that they are to be passed on to the
// other control nodes.
func (b *Backlog) Add(now time.Time, sent []wire.Sent, own bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range sent {
		b.readAt[s.Replica] = After(now, b.readAt[s.Replica], time.Duration(s.ReadMS)*time.Millisecond)
	}
	if own {
		b.own = append(b.own, sent...)
		b.passable.Raise()
	}
	b.changed.Raise()
}

// After returns until when a replica reads that was to read until readAt and is sent a
// prompt now that takes it so long.
func After(now, readAt time.Time, prompt time.Duration) time.Time {
	if readAt.Before(now) {
		readAt = now
	}
	readAt = readAt.Add(prompt)
	if most := now.Add(mostBacklog); readAt.After(most) {
		return most
	}
	return readAt
}

// Changed delivers when something was added since it last did.
func (b *Backlog) Changed() <-chan struct{} { return b.changed.Raised() }

// Passable delivers when there is something that Own has not returned.
func (b *Backlog) Passable() <-chan struct{} { return b.passable.Raised() }

// Own returns what is to be passed on, once.
func (b *Backlog) Own() []wire.Sent {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.own
	b.own = nil
	return own
}

// Totals returns the backlogs that matter, packed, and forgets those that are over.
func (b *Backlog) Totals(now time.Time) wire.Backlogs {
	b.mu.Lock()
	defer b.mu.Unlock()
	var totals wire.Backlogs
	for replica, readAt := range b.readAt {
		left := readAt.Sub(now)
		if left <= 0 {
			delete(b.readAt, replica)
			continue
		}
		if left >= leastBacklog {
			totals.Packed = binary.BigEndian.AppendUint64(totals.Packed, Key(replica))
			totals.Packed = binary.BigEndian.AppendUint16(totals.Packed, uint16(left.Milliseconds()))
		}
	}
	return totals
}

// entryBytes is the size of one packed backlog: the replica's key, then milliseconds.
const entryBytes = 8 + 2

// Unpack calls f for each backlog.
func Unpack(totals wire.Backlogs, f func(key uint64, backlog time.Duration)) {
	for data := totals.Packed; len(data) >= entryBytes; data = data[entryBytes:] {
		left := binary.BigEndian.Uint16(data[8:])
		f(binary.BigEndian.Uint64(data), time.Duration(left)*time.Millisecond)
	}
}

// Key stands for a replica's ID in packed backlogs.
func Key(replica string) uint64 {
	h := fnv.New64a()
	// A hash takes every byte.
	_, _ = h.Write([]byte(replica))
	return h.Sum64()
}
