package exchange

import (
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
)

// outputTokenWeight is the cost of a generated token in prompt tokens. An engine generates the
// tokens of a batch together but reads prompts one after the other.
const outputTokenWeight = 1

// Demand counts requests and tokens by model until they are reported. It is safe for concurrent
// use.
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

// NewDemand returns an empty Demand.
func NewDemand() *Demand {
	return &Demand{asked: map[demandKey]*wire.Asked{}, any: wakeup.New(), urgent: wakeup.New()}
}

// Count counts a request; missing means that the request found no copy of its model and waits for
// one.
func (d *Demand) Count(service string, requestInfo RequestInfo, missing bool) {
	if requestInfo.Model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	asked := d.count(service, requestInfo.Model, requestInfo.Adapter)
	if missing {
		asked.Missing++
		d.urgent.Raise()
		return
	}
	asked.Requests++
	asked.Tokens += requestInfo.PromptTokens + outputTokenWeight*requestInfo.OutputTokens
}

// Withdraw takes a request back that was counted and is now counted by another gateway. Nothing changes
// if it was reported already.
func (d *Demand) Withdraw(service string, requestInfo RequestInfo) {
	d.mu.Lock()
	defer d.mu.Unlock()
	asked := d.asked[demandKey{service, requestInfo.Model, requestInfo.Adapter}]
	if asked == nil || asked.Requests == 0 {
		return
	}
	asked.Requests--
	asked.Tokens -= min(asked.Tokens, requestInfo.PromptTokens+outputTokenWeight*requestInfo.OutputTokens)
}

// AddWork adds the time for which a request is expected to occupy a whole replica: the prefill of
// its prompt, and its part of the batch for as long as its output takes.
func (d *Demand) AddWork(service string, requestInfo RequestInfo, work time.Duration) {
	if requestInfo.Model == "" || work <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count(service, requestInfo.Model, requestInfo.Adapter).WorkMS += milliseconds(work)
}

// count returns the counts of a model or adapter; the lock is held.
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

// Add adds the counts of other gateways.
func (d *Demand) Add(models []wire.Asked) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range models {
		model := &models[i]
		asked := d.count(model.Service, model.Model, model.Adapter)
		asked.Requests += model.Requests
		asked.Tokens += model.Tokens
		asked.WorkMS += model.WorkMS
		asked.Missing += model.Missing
		if model.Missing > 0 {
			d.urgent.Raise()
		}
	}
}

// Changed returns a channel that receives a value after requests were counted.
func (d *Demand) Changed() <-chan struct{} { return d.any.Raised() }

// MissingCopy returns a channel that receives a value after a request found no copy of its model.
func (d *Demand) MissingCopy() <-chan struct{} { return d.urgent.Raised() }

// Drain returns and resets the counts.
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
