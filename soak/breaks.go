package main

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// minBreakDeathPause is the shortest time from one death of a replica by which it breaks a stream off to the next.
	minBreakDeathPause = 3 * time.Second
	// maxAbsentForDeath is how many replicas may be absent as one dies by which it breaks a stream off.
	maxAbsentForDeath = 1
	// shortCloseSeeds is one of how many seeds has replicas that close framed streams in order between two events.
	shortCloseSeeds = 4
)

// breakWay is how a replica breaks a stream off.
type breakWay int

const (
	// breakByReset resets its connection between two events.
	breakByReset breakWay = iota
	// breakInside closes it in order inside an event.
	breakInside
	// breakByDeath ends the replica, whose connections close in order between two events.
	breakByDeath
	breakWayCount
)

// breakDeaths bounds the deaths of replicas by which they break streams off. It is safe for concurrent use.
type breakDeaths struct {
	mu   sync.Mutex
	last time.Time
}

// allow reports whether another replica may die, so many being absent, and records that it does.
func (d *breakDeaths) allow(now time.Time, absent int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if absent > maxAbsentForDeath || now.Sub(d.last) < minBreakDeathPause {
		return false
	}
	d.last = now
	return true
}

// drawBreak draws how a replica breaks a stream off: by its death as often as that is allowed, up to every third time.
func (r *replicas) drawBreak(now time.Time) breakWay {
	way := breakWay(rand.IntN(int(breakWayCount)))
	if way == breakByDeath && !r.breakDeaths.allow(now, r.absent()) {
		way = breakWay(rand.IntN(int(breakByDeath)))
	}
	return way
}

// absent returns how many replicas are not there.
func (r *replicas) absent() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.plan.count - len(r.list)
}

// dieBreaking ends a replica that breaks its streams off by that, half of the time its port after its connections.
func (r *replicas) dieBreaking(rep *replica) {
	r.check.count("deaths that break streams off")
	how := death{}
	if rand.IntN(2) == 0 {
		how = death{portLag: minPortLag + rand.N(maxPortLag-minPortLag), answers: true}
	}
	r.crashBy(rep, func() { rep.die(how) })
}

// breakOff breaks a stream off before its next event. A replica that lives on closes no connection in order between two
// events, which would say that the stream ends there.
func (r *replicas) breakOff(rep *replica, w http.ResponseWriter, next string) {
	switch r.drawBreak(time.Now()) {
	case breakByDeath:
		r.dieBreaking(rep)
	case breakInside:
		_, _ = io.WriteString(w, next[:1+rand.IntN(len(next)-1)])
		_ = http.NewResponseController(w).Flush()
	case breakByReset:
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			resetConn(conn)
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// resetConn resets a connection.
func resetConn(conn io.Closer) {
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// drawClosesShort draws whether replicas close framed streams short in order in a run.
func drawClosesShort(o options) bool {
	return rand.New(rand.NewPCG(o.Seed, 27)).IntN(shortCloseSeeds) == 0
}
