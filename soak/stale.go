package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// What a measurement of a gateway does that stands still while replicas of a new software version join.
const (
	staleDuration = 150 * time.Second
	// staleSettle is how long all replicas run one version before: longer than a gateway needs to take up
	// streams without a record.
	staleSettle = 135 * time.Second
	// staleCalm is the part of it at its end in which streams are counted.
	staleCalm = 8 * time.Second
	// staleStop is how long the gateway and the control nodes of its zone stand still, and staleReplace when
	// replicas are replaced meanwhile.
	staleStop    = 500 * time.Millisecond
	staleReplace = 150 * time.Millisecond
	// staleSilence is how long the other control nodes stand still afterwards.
	staleSilence = 1500 * time.Millisecond
	// staleReplaced is how many replicas are replaced, staleBrokenPercent the share of streams that break off.
	staleReplaced      = 4
	staleBrokenPercent = 50
	staleWorkers       = 36
	// stalePause is the pause of a worker between two streams.
	stalePause = 20 * time.Millisecond
	// staleGateway is the index of the gateway.
	staleGateway = 1
)

// staleClass is a kind of streams that clients take up.
type staleClass struct {
	// named is set if they name the attempt that began the stream, stale if the gateway has stood still.
	named, stale bool
}

func (c staleClass) String() string {
	when, named := "calm", "attempt named"
	if c.stale {
		when = "from the standstill on"
	}
	if !c.named {
		named = "not named"
	}
	return when + ", " + named
}

// staleCount counts the streams of a class that clients took up.
type staleCount struct {
	takenUp, wentOn, joined int
	// joinedAt are the times after the gateway went on at which streams got events of a second version.
	joinedAt []time.Duration
}

// staleMeasurement counts what becomes of streams that clients take up.
type staleMeasurement struct {
	mu     sync.Mutex
	counts map[staleClass]*staleCount
	// countFrom is the beginning of the calm part, stoppedAt of the standstill, the zero time before.
	countFrom, stoppedAt time.Time
	begun, broken        int
}

// measureStale lets a gateway and the control nodes of its zone stand still while replicas of a new version
// join, then the other control nodes, and counts what clients get that take their streams up.
func measureStale(ctx context.Context, r *replicas, c *clients) {
	m := &staleMeasurement{counts: map[staleClass]*staleCount{}, countFrom: time.Now().Add(staleSettle - staleCalm)}
	var work sync.WaitGroup
	for worker := range staleWorkers {
		work.Go(func() { m.sendStreams(ctx, c, worker) })
	}
	select {
	case <-ctx.Done():
	case <-time.After(staleSettle):
		m.standStill(r, c.in)
	}
	work.Wait()
	m.print()
}

// standStill stops the processes and replaces replicas.
func (m *staleMeasurement) standStill(r *replicas, in *installation) {
	gateway := in.gatewayNodes()[staleGateway]
	stopped, others := []*member{gateway}, []*member(nil)
	for _, control := range in.controlNodes() {
		if zoneOf(control.host) == zoneOf(gateway.host) {
			stopped = append(stopped, control)
			continue
		}
		others = append(others, control)
	}
	signalAll(stopped, syscall.SIGSTOP)
	stoppedAt := time.Now()
	m.mu.Lock()
	m.stoppedAt = stoppedAt
	m.mu.Unlock()
	time.Sleep(staleReplace)
	r.replaceSome(staleReplaced, "v2", others[0])
	time.Sleep(time.Until(stoppedAt.Add(staleStop)))
	signalAll(others, syscall.SIGSTOP)
	gateway.signal(syscall.SIGCONT)
	time.Sleep(staleSilence)
	signalAll(in.controlNodes(), syscall.SIGCONT)
}

func signalAll(members []*member, s syscall.Signal) {
	for _, m := range members {
		m.signal(s)
	}
}

// replaceSome replaces replicas by new ones of a software version, which register with a control node first.
func (r *replicas) replaceSome(count int, software string, first *member) {
	r.mu.Lock()
	r.plan.software = software
	left := append([]*replica(nil), r.list[:count]...)
	r.mu.Unlock()
	var work sync.WaitGroup
	for _, rep := range left {
		work.Go(func() {
			if !r.remove(rep) {
				return
			}
			rep.close()
			next, err := r.start(rep.host)
			if err != nil {
				fmt.Println("a replica did not start:", err)
				return
			}
			r.mu.Lock()
			for i, control := range r.in.controlNodes() {
				if control == first {
					next.nextControlNode = i
				}
			}
			r.mu.Unlock()
			r.register(next, "ready")
		})
	}
	work.Wait()
}

// sendStreams begins streams at a gateway and takes those up at the next one that break off.
func (m *staleMeasurement) sendStreams(ctx context.Context, c *clients, worker int) {
	gateways := c.in.gatewayNodes()
	class := endsClass{"e", "HTTP/1.1"}
	for turn := worker; ctx.Err() == nil; turn++ {
		time.Sleep(stalePause)
		begunAt, id := time.Now(), c.id()
		got := sendStream(c.in.processAddress(gateways[turn%len(gateways)], c.in.callPort()), class, id, "", 0)
		held := parseStream(got.body)
		m.recordBegun(begunAt, held)
		if held.last == 0 || held.last == streamEvents {
			continue
		}
		named := turn%2 == 0
		begun := id
		if !named {
			begun = ""
		}
		next := sendStream(c.in.processAddress(gateways[(turn+1)%len(gateways)], c.in.callPort()), class, c.id(), begun, held.last)
		m.recordTakenUp(named, held, parseStream(next.body))
	}
}

func (m *staleMeasurement) recordBegun(at time.Time, held streamPart) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.Before(m.countFrom) {
		return
	}
	m.begun += asNumber(held.last > 0)
	m.broken += asNumber(held.last > 0 && held.last < streamEvents)
}

// recordTakenUp counts a stream that its client took up, by what it held and what it got.
func (m *staleMeasurement) recordTakenUp(named bool, held, part streamPart) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Now().Before(m.countFrom) {
		return
	}
	class := staleClass{named: named, stale: !m.stoppedAt.IsZero()}
	count := m.counts[class]
	if count == nil {
		count = &staleCount{}
		m.counts[class] = count
	}
	count.takenUp++
	count.wentOn += asNumber(part.last > 0)
	if part.software != "" && part.software != held.software {
		count.joined++
		count.joinedAt = append(count.joinedAt, time.Since(m.stoppedAt.Add(staleStop)).Round(10*time.Millisecond))
	}
}

func (m *staleMeasurement) print() {
	m.mu.Lock()
	defer m.mu.Unlock()
	fmt.Printf("streams begun %d, broken off %d, events counted from %s before the standstill on\n", m.begun, m.broken, staleCalm)
	for _, class := range []staleClass{{true, false}, {false, false}, {true, true}, {false, true}} {
		count := m.counts[class]
		if count == nil {
			count = &staleCount{}
		}
		fmt.Printf("%s: taken up %d, went on %d, of two versions %d, after the gateway went on by %v\n", class, count.takenUp, count.wentOn, count.joined, count.joinedAt)
	}
}

// brokenPercent returns the share of streams that their replica breaks off, in percent.
func (p *replicaPlan) brokenPercent() int {
	if p.breakOff > 0 {
		return p.breakOff
	}
	return breakOffPercent
}
