package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/wire"
)

// The bounds of the delay after a configuration could not be fetched or applied. The first retry
// comes soon; further ones back off to avoid overloading control nodes.
const (
	minRefetchDelay = 50 * time.Millisecond
	maxRefetchDelay = 2 * time.Second
)

// fetchIfNewer starts to fetch the configuration if a newer one was announced that may be used. The caller
// holds the lock.
func (f *Follower) fetchIfNewer() {
	if f.fetching || f.sink.Document == nil || !f.newerAnnounced() {
		return
	}
	f.fetching = true
	go f.fetchUntilCurrent(f.context)
}

func (f *Follower) newerAnnounced() bool {
	for _, s := range f.sources {
		if s.live && s.version > f.version && f.mayUse(f.now(), s) {
			return true
		}
	}
	return false
}

// fetchUntilCurrent fetches configurations until no newer one is announced. It uses control nodes
// of the own availability zone at first, and others too after otherZoneFetchDelay.
func (f *Follower) fetchUntilCurrent(ctx context.Context) {
	began, failures := f.now(), 0
	for {
		f.mu.Lock()
		if !f.newerAnnounced() || ctx.Err() != nil {
			f.fetching = false
			f.mu.Unlock()
			return
		}
		s := f.fetchSource(f.now().Sub(began) >= otherZoneFetchDelay)
		f.mu.Unlock()
		if s == nil {
			time.Sleep(otherZoneFetchDelay / 10)
			continue
		}
		if f.fetchFrom(ctx, s) {
			failures = 0
			continue
		}
		time.Sleep(refetchDelay(failures))
		failures++
	}
}

// refetchDelay returns the delay before the next attempt, given the number of consecutive failures
// before the last one.
func refetchDelay(failures int) time.Duration {
	return min(minRefetchDelay<<min(failures, 8), maxRefetchDelay)
}

// fetchSource returns a source with a newer configuration, nil if there is none. It prefers sources
// that did not fail to deliver one recently, then those of the own availability zone, and chooses
// among equals at random. Sources of other zones are used if allowed, if there is no configuration
// yet, or if no control node of the own zone is connected.
func (f *Follower) fetchSource(otherZones bool) *source {
	otherZones = otherZones || f.version == 0 || !f.zoneReachable()
	var best []*source
	bestRank := 0
	for _, s := range f.sources {
		near := s.zone == f.options.Zone
		if !s.live || s.version <= f.version || !near && !otherZones || !f.mayUse(f.now(), s) {
			continue
		}
		rank := 1
		if near {
			rank++
		}
		if f.now().Sub(s.fetchFailedAt) > fetchFailurePenalty {
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

// zoneReachable reports whether a control node of the own availability zone is connected.
func (f *Follower) zoneReachable() bool {
	for _, s := range f.sources {
		if s.live && s.zone == f.options.Zone {
			return true
		}
	}
	return false
}

// fetchFrom fetches a configuration from a source and reports whether it is now in force. Only then
// does the version change: it is the version that this process uses, not the one that it was sent.
func (f *Follower) fetchFrom(ctx context.Context, s *source) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var document wire.Document
	err := s.client.Call(call, wire.MethodFetchDocument, wire.Empty{}, &document)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		s.fetchFailedAt = f.now()
		f.ring.Add(event.Event{Kind: event.ConfigNotFetched, Host: s.address, Zone: s.zone, Reason: s.describeVersion(f.now(), s.version) + ": " + err.Error()})
		return false
	}
	if document.Version < s.version {
		// It was restarted since: what it confirmed is not what it has now.
		s.version = document.Version
		s.confirmedAt = time.Time{}
	}
	if document.Version <= f.version || !f.mayUse(f.now(), s) {
		return false
	}
	if err := f.sink.Document(document); err != nil {
		s.fetchFailedAt = f.now()
		f.ring.Add(event.Event{Kind: event.ConfigUnusable, Host: s.address, Reason: err.Error()})
		return false
	}
	f.version = document.Version
	f.ring.Add(event.Event{Kind: event.ConfigInForce, Host: s.address, Zone: s.zone, Reason: s.describeVersion(f.now(), f.version)})
	return true
}
