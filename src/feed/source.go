package feed

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"sort"
	"time"

	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// The times of a gateway's choice among control nodes.
const (
	// unsoundAfter is after how long without a sign another control node is followed
	// beside a silent one: two signs of 400 ms have been missed then.
	unsoundAfter = 900 * time.Millisecond
	// settleTime is how long a better control node must have been sound before a
	// worse one is left.
	settleTime = time.Second
	// gatewaysCount is how long the gateways of a lost control node count on: they
	// follow another one soon, and a retry budget must not be shared among too few.
	gatewaysCount = 10 * time.Second
	// gatewaySilence is feedSilence for a gateway, which has another control node long
	// before.
	gatewaySilence = 1500 * time.Millisecond
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

// source is one control node that may be followed.
type source struct {
	address string
	client  *rpc.Client
	// zone is "" until it is known.
	zone string
	// rank orders the sources of one kind, differently for each follower.
	rank uint64
	// stop ends the following; nil while the node is not followed, which it is since
	// startedAt.
	stop      context.CancelFunc
	startedAt time.Time
	// failed is set while the last try to follow it failed.
	failed   bool
	version  uint64
	live     bool
	leading  bool
	detached bool
	// uncertain is set while the node does not know that its configuration is the newest,
	// which it last knew at confirmedAt, the zero time if that is not known.
	uncertain   bool
	confirmedAt time.Time
	// gateways is how many gateways follow the node, as it says.
	gateways int
	heardAt  time.Time
	lostAt   time.Time
	// refusedAt is when it last gave no configuration.
	refusedAt time.Time
	// holdings are the whole holdings that it told of last.
	holdings *wire.Holdings
}

// sound reports whether a gateway needs no other control node beside this one.
func (s *source) sound(now time.Time) bool { return s.attached(now) && !s.uncertain }

// attached reports whether a source is heard and in touch with a majority.
func (s *source) attached(now time.Time) bool {
	return s.live && !s.detached && now.Sub(s.heardAt) < unsoundAfter
}

// add takes in control nodes that may be followed; the lock is held.
func (f *Follower) add(members []wire.Member) {
	for _, member := range members {
		s := f.sources[member.Address]
		if s == nil {
			s = &source{address: member.Address, rank: rankOf(f.options.Node, member.Address)}
			s.client = f.clientOf(s)
			f.sources[member.Address] = s
		}
		if s.zone == "" {
			s.zone = member.Zone
		}
	}
}

// rankOf spreads the gateways over the control nodes of a zone.
func rankOf(node, address string) uint64 {
	h := fnv.New64a()
	// A hash takes every byte.
	_, _ = h.Write([]byte(node + " " + address))
	return h.Sum64()
}

func (f *Follower) clientOf(s *source) *rpc.Client {
	mux := rpc.NewMux()
	mux.Handle(wire.MethodFeed, func(_ context.Context, _ *rpc.Peer, raw json.RawMessage) (any, error) {
		var update wire.FeedUpdate
		if err := json.Unmarshal(raw, &update); err != nil {
			return nil, err
		}
		f.take(s, update)
		return wire.Empty{}, nil
	})
	mux.Handle(wire.MethodLoadTotals, rpc.Typed(f.takeLoads))
	mux.Handle(wire.MethodBacklogs, rpc.Typed(f.takeBacklogs))
	silence := feedSilence
	if f.options.Gateway {
		silence = gatewaySilence
	}
	client := rpc.NewClient(s.address, mux, f.meter, f.cut, silence)
	client.SetUrgent(f.alone)
	return client
}

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

// start begins to follow a source; the lock is held.
func (f *Follower) start(now time.Time, s *source) {
	if s.stop != nil {
		return
	}
	s.startedAt = now
	s.failed = false
	ctx, cancel := context.WithCancel(f.context)
	s.stop = cancel
	go f.run(ctx, s)
}

// leave ends the following of a source; the lock is held.
func (f *Follower) leave(s *source) {
	if s.stop == nil {
		return
	}
	s.stop()
	s.stop = nil
	s.client.Disconnect()
	if s.live {
		f.drop(s)
	}
}

// run keeps a stream to one control node until the context ends.
func (f *Follower) run(ctx context.Context, s *source) {
	request := wire.FeedRequest{Node: f.options.Node, Zone: f.options.Zone, Gateway: f.options.Gateway}
	for failures := 0; ctx.Err() == nil; failures++ {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := s.client.Call(call, wire.MethodWatchFeed, request, nil)
		cancel()
		f.noteTry(s, err)
		if err == nil {
			failures = 0
			select {
			case <-s.client.Done():
			case <-ctx.Done():
				return
			}
			f.lose(s)
		}
		select {
		case <-time.After(f.resubscribePause(failures)):
		case <-ctx.Done():
			return
		}
	}
}

// noteTry takes in how a try to follow a source ended; another one may be due.
func (f *Follower) noteTry(s *source, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	failed := err != nil
	if failed != s.failed {
		s.failed = failed
		f.reconsider(f.now())
		f.check.Raise()
	}
}

// resubscribePause is the pause before a stream is asked for again, after so many
// failures in a row.
func (f *Follower) resubscribePause(failures int) time.Duration {
	if f.alone() {
		return resubscribeUrgent
	}
	return min(resubscribe<<min(failures, 8), resubscribeLongest)
}

// gateways returns how many gateways there are. A gateway's sources say the number of
// all; what control nodes say of themselves adds up. The lock is held.
func (f *Follower) gateways(now time.Time) int {
	most, sum := 0, 0
	for _, s := range f.sources {
		if s.live {
			most = max(most, s.gateways)
		}
		if s.live || now.Sub(s.lostAt) < gatewaysCount {
			sum += s.gateways
		}
	}
	if f.options.Gateway {
		return most
	}
	return sum
}
