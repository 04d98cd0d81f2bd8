package work

import (
	"sync"
	"time"
)

// typicalGain is the weight of one request once a service has many.
const typicalGain = 0.02

// Typical holds the mean estimate of the requests of each service. It is safe for concurrent use.
type Typical struct {
	mu       sync.Mutex
	services map[string]*typicalWork
}

// typicalWork is the mean of the requests of one service.
type typicalWork struct {
	prefill float64
	decode  float64
	memory  float64
	samples int
}

// NewTypical returns means without requests.
func NewTypical() *Typical { return &Typical{services: map[string]*typicalWork{}} }

// Add adds a request of a service.
func (t *Typical) Add(service string, e Estimate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.services[service]
	if known == nil {
		known = &typicalWork{}
		t.services[service] = known
	}
	gain := max(typicalGain, 1/float64(known.samples+1))
	known.samples++
	known.prefill += gain * (float64(e.Prefill) - known.prefill)
	known.decode += gain * (float64(e.Decode) - known.decode)
	known.memory += gain * (float64(e.Memory) - known.memory)
}

// Of returns the mean of the requests of a service, zero if there were none.
func (t *Typical) Of(service string) Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.services[service]
	if known == nil {
		return Estimate{}
	}
	return Estimate{Prefill: time.Duration(known.prefill), Decode: time.Duration(known.decode), Memory: int(known.memory)}
}
