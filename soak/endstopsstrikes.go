package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// What strikes the replicas and gateways of a measurement of ends beside planned stops.
const (
	// deathPause is the time from one death of a replica to the next one.
	deathPause = 500 * time.Millisecond
	// maxBackTime is the longest time until the next start of a replica that comes back at once.
	maxBackTime = 10 * time.Millisecond
	// endsSilence is how long a replica is silent, minEndsSilencePause and maxEndsSilencePause bound the pause until the
	// next one is.
	endsSilence         = 1500 * time.Millisecond
	minEndsSilencePause = 500 * time.Millisecond
	maxEndsSilencePause = 1500 * time.Millisecond
	// resetLag is how long after its last event a connection is reset.
	resetLag = 5 * time.Millisecond
	// evidenceTime is how long after the first framed answer that was closed short all gateways may take to know it.
	evidenceTime = 3 * time.Second
)

// deathOrder is what closes first as a replica dies; "" is for none.
type deathOrder string

const (
	portFirst  deathOrder = "port first"
	connsFirst deathOrder = "connections first"
	// comesBack is portFirst with the next start within maxBackTime.
	comesBack deathOrder = "port first, back at once"
)

// endReset is how the connection of an answer to the close is reset after its last event; "" is for none.
type endReset string

const (
	// resetOnly resets it in place of the orderly close, resetAfterEnd after that.
	resetOnly     endReset = "in place of the end"
	resetAfterEnd endReset = "after the end"
)

// endStopsStrikes strikes the replicas of a measurement. It is safe for concurrent use.
type endStopsStrikes struct {
	replicas *replicas
	kind     endStopsKind
	random   *rand.Rand
	note     func(format string, arguments ...any)

	mu sync.Mutex
	// awaited is set while the next replica that ends an answer with its connection falls silent, and closed then.
	awaited                  chan *replica
	deaths, silences, atEnds int
}

// run strikes replicas until ctx ends.
func (s *endStopsStrikes) run(ctx context.Context, work *sync.WaitGroup) {
	if s.kind.death != "" {
		work.Go(func() { s.letDie(ctx, work) })
	}
	if s.kind.silent {
		work.Go(func() { s.letBeSilent(ctx) })
	}
}

// letDie lets one replica after the other die; another start comes in its place.
func (s *endStopsStrikes) letDie(ctx context.Context, work *sync.WaitGroup) {
	for {
		sleep(ctx, deathPause)
		if ctx.Err() != nil {
			return
		}
		rep, how := s.draw(), death{}
		if s.kind.death == connsFirst {
			how = drawLateDeath(s.random)
		}
		if rep == nil || !s.replicas.remove(rep) {
			continue
		}
		s.note("%s dies, its port %s after its connections, answers until then %v", rep.id, how.portLag, how.answers)
		rep.die(how)
		s.count(&s.deaths)
		id, downtime := []string{"", rep.id}[s.random.IntN(2)], crashDowntime
		if s.kind.death == comesBack {
			downtime = drawBetween(s.random, 0, maxBackTime)
		}
		work.Go(func() {
			time.Sleep(downtime)
			s.startAgain(rep.host, id)
		})
	}
}

// startAgain starts a replica at a host, under the given ID unless that is "".
func (s *endStopsStrikes) startAgain(host int, id string) {
	for range 50 {
		if rep, err := s.replicas.startAs(host, id); err == nil {
			s.note("%s starts at %s", rep.id, rep.address)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.note("no replica could be started at host %d", host)
}

// draw returns a random replica that runs, nil if there is none.
func (s *endStopsStrikes) draw() *replica {
	s.replicas.mu.Lock()
	defer s.replicas.mu.Unlock()
	if len(s.replicas.list) == 0 {
		return nil
	}
	return s.replicas.list[s.random.IntN(len(s.replicas.list))]
}

// letBeSilent lets one replica after the other fall silent, every second one right after it has ended an answer.
func (s *endStopsStrikes) letBeSilent(ctx context.Context) {
	for turn := 0; ; turn++ {
		sleep(ctx, drawBetween(s.random, minEndsSilencePause, maxEndsSilencePause))
		if ctx.Err() != nil {
			return
		}
		rep := s.draw()
		if turn%2 == 1 {
			rep = s.awaitEnd(ctx)
		} else if rep != nil {
			rep.pause.begin(false)
		}
		if rep == nil {
			continue
		}
		s.note("%s falls silent, after the end of an answer %v", rep.id, turn%2 == 1)
		s.count(&s.silences)
		sleep(ctx, endsSilence)
		rep.pause.end()
		s.note("%s goes on", rep.id)
	}
}

// awaitEnd waits until a replica has ended an answer with its connection and was silenced, and returns it, nil if ctx ended.
func (s *endStopsStrikes) awaitEnd(ctx context.Context) *replica {
	awaited := make(chan *replica, 1)
	s.mu.Lock()
	s.awaited = awaited
	s.mu.Unlock()
	select {
	case rep := <-awaited:
		s.count(&s.atEnds)
		return rep
	case <-ctx.Done():
		return nil
	}
}

// ended silences a replica that has just ended an answer with its connection if that is awaited.
func (s *endStopsStrikes) ended(rep *replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.awaited == nil || !rep.pause.begin(false) {
		return
	}
	s.awaited <- rep
	s.awaited = nil
}

func (s *endStopsStrikes) count(counter *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
}

// totals returns how many replicas have died, how many fell silent, and how many of those at the end of an answer.
func (s *endStopsStrikes) totals() (deaths, silences, atEnds int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.deaths, s.silences, s.atEnds
}

// killAll kills all gateways at once and starts them again after a while.
func (m *endStopsMeasurement) killAll() {
	var work sync.WaitGroup
	for _, gateway := range m.in.gatewayNodes() {
		work.Go(func() {
			m.mu.Lock()
			m.killed[gateway] = append(m.killed[gateway], gatewayStop{signalAt: time.Now()})
			m.mu.Unlock()
			m.in.restart(gateway, syscall.SIGKILL, endsDowntime, nil)
			m.mu.Lock()
			defer m.mu.Unlock()
			kills := m.killed[gateway]
			kills[len(kills)-1].startedAt = time.Now()
		})
	}
	work.Wait()
	m.note("all gateways were killed and started again")
}

// overlapsKill reports whether a request was under way at a gateway that was killed then.
func overlapsKill(kills []gatewayStop, sentAt, endedAt time.Time) bool {
	for _, kill := range kills {
		if !endedAt.Before(kill.signalAt) && (kill.startedAt.IsZero() || sentAt.Before(kill.startedAt)) {
			return true
		}
	}
	return false
}
