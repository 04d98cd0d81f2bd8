package feed

import (
	"sort"
	"time"
)

// The times of a gateway's choice among control nodes.
const (
	// unsoundAfter is after how long without a sign another control node is followed
	// beside a silent one: two signs of 400 ms have been missed then.
	unsoundAfter = 900 * time.Millisecond
	// settleTime is how long a better control node must have been sound before a
	// worse one is left.
	settleTime = time.Second
	// nextAfter is after how long a gateway tries a further control node beside one that has
	// not answered; one that can't be reached is passed over at once. A node to which all
	// gateways come back at once is slow, not gone: with 200 ms nearly all gateways asked
	// nearly all nodes, 240 followers at each of 5.
	nextAfter = 500 * time.Millisecond
	// besideAfter is after how long a gateway follows a further control node beside one
	// that is in reach but not sound, twice as long for each one more: while control nodes
	// find one another none is sound, and each further stream costs them time for just that.
	// Measured on the large fleet with all streams at once: 295 followers on a node made for
	// 59, 12,500 updates and 6 MB in two seconds, and no leader for 2.7 s.
	besideAfter = 600 * time.Millisecond
	// uncertainFollowed is how many control nodes a gateway follows that reach a majority and
	// don't know that their configuration is the newest: a second one may know it, and where
	// nobody leads all nodes with all gateways would only delay the election.
	uncertainFollowed = 2
	// soonestCheck bounds how often the choice is looked at by time alone.
	soonestCheck = 10 * time.Millisecond
)

// ranked returns the sources, best first: those of the own availability zone, those
// whose zone is not known yet, the others.
func (f *Follower) ranked() []*source {
	all := make([]*source, 0, len(f.sources))
	for _, s := range f.sources {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return f.before(all[i], all[j]) })
	return all
}

// before reports whether a source goes before another.
func (f *Follower) before(a, b *source) bool {
	if x, y := f.distance(a), f.distance(b); x != y {
		return x < y
	}
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.address < b.address
}

func (f *Follower) distance(s *source) int {
	switch s.zone {
	case f.options.Zone:
		return 0
	case "":
		return 1
	}
	return 2
}

// reconsider begins to follow what is needed and leaves what no longer is. A control
// node follows all. A gateway follows the best sound one, and those that are better
// but not sound, one more at a time; it leaves the worse ones once the best has been sound
// for a while. The lock is held.
func (f *Follower) reconsider(now time.Time) {
	if f.context == nil || f.context.Err() != nil {
		return
	}
	ranked := f.ranked()
	f.noteFirst(now, ranked)
	pace := startPace{}
	for _, s := range ranked {
		switch {
		case !f.options.Gateway || pace.mayStart(now):
			f.start(now, s)
			pace.note(now, s)
		case pace.found && now.Sub(f.firstSince) >= settleTime:
			f.leave(s)
		default:
			pace.note(now, s)
		}
	}
	f.startNext = pace.next
}

// startPace decides, over the sources from the best one on, how many a gateway follows.
type startPace struct {
	// found is set once a sound one was met.
	found bool
	// live and attached count those in reach, and of them those in touch with a majority.
	live, attached int
	// next is when one more may be followed.
	next time.Time
}

// mayStart reports whether the source after those that were noted may be followed.
func (p *startPace) mayStart(now time.Time) bool {
	return !p.found && p.attached < uncertainFollowed && !now.Before(p.next)
}

// note takes in one more source.
func (p *startPace) note(now time.Time, s *source) {
	p.found = p.found || s.sound(now)
	if s.attached(now) {
		p.attached++
	}
	switch {
	case s.stop == nil || s.failed:
	case s.live:
		p.next = later(p.next, s.startedAt.Add(besideAfter<<p.live))
		p.live++
	default:
		p.next = later(p.next, s.startedAt.Add(nextAfter))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// noteFirst notes which source is the best sound one, and since when; the lock is held.
func (f *Follower) noteFirst(now time.Time, ranked []*source) {
	var first *source
	for _, s := range ranked {
		if s.sound(now) {
			first = s
			break
		}
	}
	if first != f.first {
		f.first, f.firstSince = first, now
	}
}

// untilCheck returns how long nothing changes by time alone; the lock is held.
func (f *Follower) untilCheck(now time.Time) time.Duration {
	if !f.options.Gateway {
		return sweepEvery
	}
	if f.first == nil {
		return f.untilStart(now)
	}
	next := f.first.heardAt.Add(unsoundAfter)
	if settled := f.firstSince.Add(settleTime); settled.After(now) && settled.Before(next) {
		next = settled
	}
	return max(next.Sub(now), soonestCheck)
}

// untilStart returns how long until a further source may be followed; the lock is held.
func (f *Follower) untilStart(now time.Time) time.Duration {
	wait := f.startNext.Sub(now)
	if wait <= 0 {
		return sweepEvery
	}
	return min(max(wait, soonestCheck), sweepEvery)
}
