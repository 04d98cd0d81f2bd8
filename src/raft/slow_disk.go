package raft

import "time"

const (
	// slowDiskFactor is how many times longer than the recent commit latency a leader's own write may
	// take.
	slowDiskFactor = 4
	// minTransferInterval is the minimum time between two leadership transfers because of a slow disk.
	minTransferInterval = 5 * time.Second
)

// commitLatency measures how long a majority takes to make an entry of this leader durable. It measures
// one entry at a time.
type commitLatency struct {
	// index is the entry being measured, or 0 for none; it was appended at startedAt.
	index     uint64
	startedAt time.Time
	// decayingMax is the maximum recent latency. Each new measurement reduces the earlier maximum by an
	// eighth.
	decayingMax time.Duration
}

// appended starts a measurement unless one is in progress.
func (t *commitLatency) appended(now time.Time, index uint64) {
	if t.index == 0 {
		t.index, t.startedAt = index, now
	}
}

// committed ends the measurement once the measured entry is committed.
func (t *commitLatency) committed(now time.Time, index uint64) {
	if t.index == 0 || index < t.index {
		return
	}
	t.decayingMax = max(now.Sub(t.startedAt), t.decayingMax-t.decayingMax/8)
	t.index = 0
}

// ownDiskIsSlow reports whether a majority without this leader has made entries durable that are not yet
// on the leader's own disk, and takes far less time for it. In that case only this disk is slow, not
// all of them.
func (c *Core) ownDiskIsSlow(now time.Time) bool {
	age := c.writes.age(now)
	return c.commit > c.stable && age >= c.options.SlowDiskTimeout && age >= slowDiskFactor*c.commitLatency.decayingMax &&
		now.Sub(c.transferDeadline) >= minTransferInterval
}
