package exchange

import (
	"sync"

	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
)

// outputWeight is how many prompt tokens one generated token costs an engine:
// a batch's tokens are generated together, prompts are read one after the other.
const outputWeight = 1

// Demand counts what requests ask for, until it is reported; it is safe for
// concurrent use.
type Demand struct {
	mu     sync.Mutex
	asked  map[demandKey]*wire.Asked
	any    wakeup.Flag
	urgent wakeup.Flag
}

type demandKey struct {
	service string
	model   string
	adapter string
}

// NewDemand returns an empty count.
func NewDemand() *Demand {
	return &Demand{asked: map[demandKey]*wire.Asked{}, any: wakeup.New(), urgent: wakeup.New()}
}

// Ask counts a request; missing says that it found no copy and waits for one.
func (d *Demand) Ask(service string, facts Facts, missing bool) {
	if facts.Model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	asked := d.count(service, facts.Model, facts.Adapter)
	if missing {
		asked.Missing++
		d.urgent.Raise()
		return
	}
	asked.Requests++
	asked.Tokens += facts.PromptTokens + outputWeight*facts.OutputTokens
}

// count returns the count for a model or adapter; the lock is held.
func (d *Demand) count(service, model, adapter string) *wire.Asked {
	key := demandKey{service, model, adapter}
	asked := d.asked[key]
	if asked == nil {
		asked = &wire.Asked{Service: service, Model: model, Adapter: adapter}
		d.asked[key] = asked
	}
	d.any.Raise()
	return asked
}

// Add adds what others have counted.
func (d *Demand) Add(models []wire.Asked) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range models {
		model := &models[i]
		asked := d.count(model.Service, model.Model, model.Adapter)
		asked.Requests += model.Requests
		asked.Tokens += model.Tokens
		asked.Missing += model.Missing
		if model.Missing > 0 {
			d.urgent.Raise()
		}
	}
}

// Asked delivers when requests were counted since it last did.
func (d *Demand) Asked() <-chan struct{} { return d.any.Raised() }

// Urgent delivers when a request found no copy.
func (d *Demand) Urgent() <-chan struct{} { return d.urgent.Raised() }

// Drain returns the count and begins anew.
func (d *Demand) Drain() []wire.Asked {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]wire.Asked, 0, len(d.asked))
	for _, asked := range d.asked {
		all = append(all, *asked)
	}
	d.asked = map[demandKey]*wire.Asked{}
	return all
}
