package feed

import (
	"sort"
	"time"
)

// The timing and limits of a gateway's selection of control nodes.
const (
	// unhealthyAfter is the time without an update after which another control node is followed as
	// well: two keepalives, 400 ms apart, have been missed by then.
	unhealthyAfter = 900 * time.Millisecond
	// switchBackDelay is how long a preferred control node must have been healthy before less
	// preferred ones are dropped.
	switchBackDelay = time.Second
	// unansweredDelay is how long a gateway waits for a control node to answer before it tries one
	// more; an unreachable one is skipped at once. A node to which all gateways reconnect at the
	// same time is slow but running: with 200 ms nearly all gateways subscribed to nearly all
	// nodes, 240 followers at each of 5.
	unansweredDelay = 500 * time.Millisecond
	// unhealthyDelay is how long a gateway waits before it follows one more control node while one
	// is connected but not healthy; it doubles with each further one. While control nodes connect
	// to each other none is healthy, and each extra stream slows them down. On the large
	// installation with all streams started at once, 295 followers on a node made for 59 caused
	// 12,500 updates and 6 MB in two seconds, and no leader for 2.7 s.
	unhealthyDelay = 600 * time.Millisecond
	// maxUncertainFollowed is how many control nodes a gateway follows that reach a majority but
	// can't confirm that their configuration is the newest. A second one may be able to confirm it;
	// without a leader, connecting every gateway to every node would only delay the election.
	maxUncertainFollowed = 2
	// minCheckInterval bounds how often the selection is checked because of elapsed time alone.
	minCheckInterval = 10 * time.Millisecond
)

// ranked returns the sources in order of preference: those of the own availability zone, then those
// whose zone is not known yet, then the others.
func (f *Follower) ranked() []*source {
	all := make([]*source, 0, len(f.sources))
	for _, s := range f.sources {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return f.preferred(all[i], all[j]) })
	return all
}

// preferred reports whether a is preferred to b.
func (f *Follower) preferred(a, b *source) bool {
	if x, y := f.zoneDistance(a), f.zoneDistance(b); x != y {
		return x < y
	}
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.address < b.address
}

func (f *Follower) zoneDistance(s *source) int {
	switch s.zone {
	case f.options.Zone:
		return 0
	case "":
		return 1
	}
	return 2
}

// updateFollowed starts and stops subscriptions. A control node follows all sources. A gateway
// follows the most preferred healthy one, and those preferred to it that are not healthy, adding
// one at a time; it drops the others once the best one has been healthy for switchBackDelay. The
// caller holds the lock.
func (f *Follower) updateFollowed(now time.Time) {
	if f.context == nil || f.context.Err() != nil {
		return
	}
	ranked := f.ranked()
	f.updateBest(now, ranked)
	limiter := startLimiter{}
	for _, s := range ranked {
		switch {
		case !f.options.Gateway || limiter.mayStart(now):
			f.startFollowing(now, s)
			limiter.count(now, s)
		case limiter.foundHealthy && now.Sub(f.bestSince) >= switchBackDelay:
			f.stopFollowing(s)
		default:
			limiter.count(now, s)
		}
	}
	f.nextStartAt = limiter.nextStart
}

// startLimiter limits how many sources a gateway follows, going through them in order of
// preference.
type startLimiter struct {
	// foundHealthy is set once a healthy source was counted.
	foundHealthy bool
	// live counts the connected sources, and attached those of them that reach a majority.
	live, attached int
	// nextStart is when one more source may be followed.
	nextStart time.Time
}

// mayStart reports whether the source after the counted ones may be followed.
func (l *startLimiter) mayStart(now time.Time) bool {
	return !l.foundHealthy && l.attached < maxUncertainFollowed && !now.Before(l.nextStart)
}

// count adds one more source.
func (l *startLimiter) count(now time.Time, s *source) {
	l.foundHealthy = l.foundHealthy || s.healthy(now)
	if s.attached(now) {
		l.attached++
	}
	switch {
	case s.stop == nil || s.failed:
	case s.live:
		l.nextStart = later(l.nextStart, s.startedAt.Add(unhealthyDelay<<l.live))
		l.live++
	default:
		l.nextStart = later(l.nextStart, s.startedAt.Add(unansweredDelay))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// updateBest sets the most preferred healthy source. The caller holds the lock.
func (f *Follower) updateBest(now time.Time, ranked []*source) {
	var best *source
	for _, s := range ranked {
		if s.healthy(now) {
			best = s
			break
		}
	}
	if best != f.best {
		f.best, f.bestSince = best, now
	}
}

// nextCheckDelay returns the time until the selection may change because of elapsed time alone. The
// caller holds the lock.
func (f *Follower) nextCheckDelay(now time.Time) time.Duration {
	if !f.options.Gateway {
		return sweepInterval
	}
	if f.best == nil {
		return f.nextStartDelay(now)
	}
	next := f.best.heardAt.Add(unhealthyAfter)
	if settled := f.bestSince.Add(switchBackDelay); settled.After(now) && settled.Before(next) {
		next = settled
	}
	return max(next.Sub(now), minCheckInterval)
}

// nextStartDelay returns the time until one more source may be followed. The caller holds the lock.
func (f *Follower) nextStartDelay(now time.Time) time.Duration {
	wait := f.nextStartAt.Sub(now)
	if wait <= 0 {
		return sweepInterval
	}
	return min(max(wait, minCheckInterval), sweepInterval)
}
