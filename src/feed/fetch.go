package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/wire"
)

// The pauses after a configuration that was not had, or could not be taken in: others are
// asked soon, and a control node that is short of time is not asked without end.
const (
	refetchAfter   = 50 * time.Millisecond
	refetchLongest = 2 * time.Second
)

// fetch gets a newer configuration, if one was announced; the lock is held.
func (f *Follower) fetch() {
	if f.fetching || f.sink.Document == nil || !f.newer() {
		return
	}
	f.fetching = true
	go f.fetchAll(f.context)
}

func (f *Follower) newer() bool {
	for _, s := range f.sources {
		if s.live && s.version > f.version {
			return true
		}
	}
	return false
}

// fetchAll fetches until nothing newer is announced. It asks the own
// availability zone's control node first and others after a short while.
func (f *Follower) fetchAll(ctx context.Context) {
	began, failures := f.now(), 0
	for {
		f.mu.Lock()
		if !f.newer() || ctx.Err() != nil {
			f.fetching = false
			f.mu.Unlock()
			return
		}
		s := f.nearest(f.now().Sub(began) >= farDelay)
		f.mu.Unlock()
		if s == nil {
			time.Sleep(farDelay / 10)
			continue
		}
		if f.fetchFrom(ctx, s) {
			failures = 0
			continue
		}
		time.Sleep(refetchPause(failures))
		failures++
	}
}

// refetchPause is the pause after so many failures in a row before the last one.
func refetchPause(failures int) time.Duration {
	return min(refetchAfter<<min(failures, 8), refetchLongest)
}

// nearest returns a source that has a newer configuration: one that did not just
// fail to give it, then one of the own availability zone, any of them. Far ones
// count only when allowed.
func (f *Follower) nearest(far bool) *source {
	far = far || f.version == 0 || !f.zoneServed()
	var best []*source
	bestRank := 0
	for _, s := range f.sources {
		near := s.zone == f.options.Zone
		if !s.live || s.version <= f.version || !near && !far {
			continue
		}
		rank := 1
		if near {
			rank++
		}
		if f.now().Sub(s.refusedAt) > refusalCounts {
			rank += 2
		}
		if rank > bestRank {
			best, bestRank = nil, rank
		}
		if rank == bestRank {
			best = append(best, s)
		}
	}
	if len(best) == 0 {
		return nil
	}
	return best[rand.IntN(len(best))]
}

// zoneServed reports whether a control node of the own availability zone is in reach.
func (f *Follower) zoneServed() bool {
	for _, s := range f.sources {
		if s.live && s.zone == f.options.Zone {
			return true
		}
	}
	return false
}

// fetchFrom reports whether a source gave a configuration that is in force now. The version
// moves only then: it says what this process acts on, not what it was given.
func (f *Follower) fetchFrom(ctx context.Context, s *source) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var document wire.Document
	err := s.client.Call(call, wire.MethodFetchDocument, wire.Empty{}, &document)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		s.refusedAt = f.now()
		return false
	}
	if document.Version <= f.version {
		s.version = document.Version
		return false
	}
	if err := f.sink.Document(s.address, document); err != nil {
		s.refusedAt = f.now()
		f.ring.Add(event.Event{Kind: event.ConfigUnusable, Host: s.address, Reason: err.Error()})
		return false
	}
	f.version = document.Version
	return true
}
