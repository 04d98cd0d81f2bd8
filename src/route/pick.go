package route

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// sampleSize is the number of candidates that a choice compares.
const sampleSize = 3

// Costs in addition to the expected wait, in nanoseconds.
const (
	// crossZoneCost is the cost of a request to another availability zone.
	crossZoneCost = int64(2 * time.Millisecond)
	// prefixCacheGain is what a prompt prefix in the host's cache saves.
	prefixCacheGain = int64(30 * time.Millisecond)
	// slowStartCost is added during a host's slow start.
	slowStartCost = int64(50 * time.Millisecond)
)

// Verdict is the result of a choice.
type Verdict uint8

const (
	// Chosen means that a host was found.
	Chosen Verdict = iota
	// Full means that every host that could serve the request has reached this gateway's limit.
	Full
	// Unreachable means that no reachable host can serve the request.
	Unreachable
)

// Tried contains the hosts that a request was already sent to.
type Tried struct {
	hosts [maxTried]*Host
	count int
}

// maxTried is the number of hosts kept; it is above any sensible number of attempts.
const maxTried = 8

// Add adds a host.
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

// prefixSlots is the number of prompt prefixes whose last host is kept.
const prefixSlots = 8192

// Prefixes remembers which host last served a prompt prefix. It is only a hint: an outdated one
// costs time but does not affect the answer. It is safe for concurrent use.
type Prefixes struct {
	slots [prefixSlots]atomic.Pointer[prefix]
}

type prefix struct {
	hash uint64
	host *Host
}

// Note records that a host has a prefix in its cache.
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

// Request contains the inputs of a choice.
type Request struct {
	Requirements Requirements
	Tried        *Tried
	Prefix       uint64
	// Mode is ByCost or "", which means the same; other modes are baselines for measurements.
	Mode Mode
}

// Pick chooses the host for a request. It compares a random sample of the candidates, mostly local
// ones, and the host that has the prompt's prefix in its cache.
func (t *Table) Pick(now time.Time, r Request, prefixes *Prefixes, random *rand.Rand) (*Host, Verdict) {
	c := t.find(r.Requirements)
	if c.len() == 0 {
		return nil, Unreachable
	}
	if r.Mode != "" && r.Mode != ByCost {
		return c.pickBaseline(r.Mode, random.Uint64(), now.UnixNano(), r.Tried)
	}
	p := picker{c: c, now: now.UnixNano(), tried: r.Tried, prefixHost: prefixes.find(r.Prefix)}
	p.weighPrefixHost()
	p.weighSample(random)
	if p.best != nil {
		return p.best, Chosen
	}
	return p.scan()
}

// picker is the state of one choice.
type picker struct {
	c          *candidates
	now        int64
	tried      *Tried
	prefixHost *Host
	best       *Host
	cost       int64
}

func (p *picker) weighPrefixHost() {
	if p.prefixHost == nil {
		return
	}
	for i := range p.c.local {
		if p.c.local[i] == p.prefixHost {
			p.weigh(p.prefixHost, false)
			return
		}
	}
	for i := range p.c.remote {
		if p.c.remote[i] == p.prefixHost {
			p.weigh(p.prefixHost, true)
			return
		}
	}
}

// weighSample draws from the local candidates, and one from the remote ones so that requests can
// move to another zone when the local one is overloaded.
func (p *picker) weighSample(random *rand.Rand) {
	if local := len(p.c.local); local > 0 {
		start := random.IntN(local)
		stride := 1
		if local > sampleSize {
			stride = 1 + random.IntN(local-1)
		}
		for i := 0; i < min(local, sampleSize); i++ {
			p.weigh(p.c.local[(start+i*stride)%local], false)
		}
	}
	if remote := len(p.c.remote); remote > 0 {
		start := random.IntN(remote)
		draws := 1
		if len(p.c.local) == 0 {
			draws = min(remote, sampleSize)
		}
		for i := 0; i < draws; i++ {
			p.weigh(p.c.remote[(start+i)%remote], true)
		}
	}
}

func (p *picker) weigh(h *Host, remote bool) {
	if !h.usable(p.now) || !h.hasCapacity() || (p.tried != nil && p.tried.Has(h)) {
		return
	}
	cost := h.cost()
	if remote {
		cost += crossZoneCost
	}
	if h == p.prefixHost {
		cost -= prefixCacheGain
	}
	if h.slowStartUntil.Load() > p.now {
		cost += slowStartCost
	}
	if p.best == nil || cost < p.cost {
		p.best, p.cost = h, cost
	}
}

// scan checks every candidate when none of the sample was usable. If no candidate is usable it
// falls back to those that are ejected, suspect or were tried before, so that these precautions
// alone never make a model unavailable.
func (p *picker) scan() (*Host, Verdict) {
	for i := 0; i < p.c.len(); i++ {
		p.weigh(p.c.at(i), i >= len(p.c.local))
	}
	if p.best != nil {
		return p.best, Chosen
	}
	full := false
	for i := 0; i < p.c.len(); i++ {
		h := p.c.at(i)
		if !h.usableAsLastResort(p.now) {
			continue
		}
		if !h.hasCapacity() {
			full = true
			continue
		}
		if p.best == nil || h.ejectedUntil.Load() < p.best.ejectedUntil.Load() {
			p.best = h
		}
	}
	switch {
	case p.best != nil:
		return p.best, Chosen
	case full:
		return nil, Full
	}
	return nil, Unreachable
}
