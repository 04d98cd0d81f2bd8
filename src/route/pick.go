package route

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// sample is how many candidates a choice weighs.
const sample = 3

// The costs besides waiting, in nanoseconds.
const (
	// farCost is what crossing to another availability zone costs.
	farCost = int64(2 * time.Millisecond)
	// prefixGain is what a prompt prefix in the host's cache saves.
	prefixGain = int64(30 * time.Millisecond)
	// freshCost is added while a host with a fresh copy starts slowly.
	freshCost = int64(50 * time.Millisecond)
)

// Verdict says how a choice came out.
type Verdict uint8

// The verdicts.
const (
	// Chosen means that there is a host.
	Chosen Verdict = iota
	// Full means that every host that could serve has no room for more from here.
	Full
	// Missing means that no host in reach can serve.
	Missing
)

// Tried remembers the hosts that a request was sent to already.
type Tried struct {
	hosts [maxTried]*Host
	count int
}

// maxTried bounds what is remembered; it is above any sensible number of attempts.
const maxTried = 8

// Add remembers a host.
func (t *Tried) Add(h *Host) {
	if t.count < maxTried {
		t.hosts[t.count] = h
		t.count++
	}
}

// Has reports whether a host was tried.
func (t *Tried) Has(h *Host) bool {
	for i := 0; i < t.count; i++ {
		if t.hosts[i] == h {
			return true
		}
	}
	return false
}

// prefixSlots is the number of prompt prefixes whose last host is remembered.
const prefixSlots = 8192

// Prefixes remembers which host last served a prompt prefix. It is a hint: a
// wrong one costs time, never an answer. It is safe for concurrent use.
type Prefixes struct {
	slots [prefixSlots]atomic.Pointer[prefix]
}

type prefix struct {
	hash uint64
	host *Host
}

// Note remembers that a host has a prefix now.
func (p *Prefixes) Note(hash uint64, host *Host) {
	slot := &p.slots[hash%prefixSlots]
	if known := slot.Load(); known != nil && known.hash == hash && known.host == host {
		return
	}
	slot.Store(&prefix{hash: hash, host: host})
}

func (p *Prefixes) find(hash uint64) *Host {
	if p == nil || hash == 0 {
		return nil
	}
	if known := p.slots[hash%prefixSlots].Load(); known != nil && known.hash == hash {
		return known.host
	}
	return nil
}

// Request is what a choice depends on.
type Request struct {
	Want   Want
	Tried  *Tried
	Prefix uint64
	// Mode is ByCost, or "" for the same, but for measurements of a baseline.
	Mode Mode
}

// Pick chooses the host for a request. It weighs a random sample of the
// candidates, mostly near ones, and the host that has the prompt's prefix.
func (t *Table) Pick(now time.Time, r Request, prefixes *Prefixes, random *rand.Rand) (*Host, Verdict) {
	c := t.find(r.Want)
	if c.len() == 0 {
		return nil, Missing
	}
	if r.Mode != "" && r.Mode != ByCost {
		return c.pickBaseline(r.Mode, random.Uint64(), now.UnixNano(), r.Tried)
	}
	p := picker{c: c, now: now.UnixNano(), tried: r.Tried, warm: prefixes.find(r.Prefix)}
	p.weighWarm()
	p.weighSample(random)
	if p.best != nil {
		return p.best, Chosen
	}
	return p.scan()
}

type picker struct {
	c     *candidates
	now   int64
	tried *Tried
	warm  *Host
	best  *Host
	cost  int64
}

func (p *picker) weighWarm() {
	if p.warm == nil {
		return
	}
	for i := range p.c.near {
		if p.c.near[i] == p.warm {
			p.weigh(p.warm, false)
			return
		}
	}
	for i := range p.c.far {
		if p.c.far[i] == p.warm {
			p.weigh(p.warm, true)
			return
		}
	}
}

// weighSample draws from the near candidates, and one from the far ones so
// that a crowded zone is noticed.
func (p *picker) weighSample(random *rand.Rand) {
	if near := len(p.c.near); near > 0 {
		start := random.IntN(near)
		stride := 1
		if near > sample {
			stride = 1 + random.IntN(near-1)
		}
		for i := 0; i < min(near, sample); i++ {
			p.weigh(p.c.near[(start+i*stride)%near], false)
		}
	}
	if far := len(p.c.far); far > 0 {
		start := random.IntN(far)
		draws := 1
		if len(p.c.near) == 0 {
			draws = min(far, sample)
		}
		for i := 0; i < draws; i++ {
			p.weigh(p.c.far[(start+i)%far], true)
		}
	}
}

func (p *picker) weigh(h *Host, far bool) {
	if !h.usable(p.now) || !h.hasRoom() || (p.tried != nil && p.tried.Has(h)) {
		return
	}
	cost := h.cost()
	if far {
		cost += farCost
	}
	if h == p.warm {
		cost -= prefixGain
	}
	if h.freshTo.Load() > p.now {
		cost += freshCost
	}
	if p.best == nil || cost < p.cost {
		p.best, p.cost = h, cost
	}
}

// scan looks at every candidate after the sample had none to offer: first for a
// usable one, then for one that was only ejected, is suspect or was tried
// before, so that caution alone never makes a model unreachable.
func (p *picker) scan() (*Host, Verdict) {
	for i := 0; i < p.c.len(); i++ {
		p.weigh(p.c.at(i), i >= len(p.c.near))
	}
	if p.best != nil {
		return p.best, Chosen
	}
	full := false
	for i := 0; i < p.c.len(); i++ {
		h := p.c.at(i)
		if !h.lastResort(p.now) {
			continue
		}
		if !h.hasRoom() {
			full = true
			continue
		}
		if p.best == nil || h.ejectedTo.Load() < p.best.ejectedTo.Load() {
			p.best = h
		}
	}
	switch {
	case p.best != nil:
		return p.best, Chosen
	case full:
		return nil, Full
	}
	return nil, Missing
}
