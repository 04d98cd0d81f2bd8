package placer

import (
	"math"
	"time"

	"github.com/moorspool/moorspool/src/wire"
)

// demandHalf is after how long demand that has ended counts half.
const demandHalf = 3 * time.Second

// tokensPerSecond is how many prompt tokens an engine reads in a second; the
// work of a request is counted in parts of a replica by it.
const tokensPerSecond = 18000.0

// rate is an average that forgets.
type rate struct {
	value float64
	at    time.Time
}

// add counts an amount at a time.
func (r *rate) add(now time.Time, amount float64) {
	r.value = r.get(now) + amount*math.Ln2/demandHalf.Seconds()
	r.at = now
}

// get returns the amount a second.
func (r *rate) get(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp2(-float64(now.Sub(r.at))/float64(demandHalf))
}

type modelKey struct {
	service string
	model   string
}

type adapterKey struct {
	service string
	model   string
	adapter string
}

// demand is what the gateways' requests ask for.
type demand struct {
	tokens   map[modelKey]*rate
	requests map[modelKey]*rate
	adapters map[adapterKey]*rate
	// missing are adapters and models that requests wait for, with when they last did.
	missing map[adapterKey]time.Time
	// since is when the first request was told of, the zero time before.
	since time.Time
}

func newDemand() *demand {
	return &demand{tokens: map[modelKey]*rate{}, requests: map[modelKey]*rate{}, adapters: map[adapterKey]*rate{}, missing: map[adapterKey]time.Time{}}
}

func (d *demand) take(now time.Time, usage wire.Usage) {
	if d.since.IsZero() {
		d.since = now
	}
	for _, asked := range usage.Models {
		model := modelKey{asked.Service, asked.Model}
		add(d.tokens, model, now, float64(asked.Tokens))
		add(d.requests, model, now, float64(asked.Requests))
		key := adapterKey{asked.Service, asked.Model, asked.Adapter}
		if asked.Adapter != "" {
			add(d.adapters, key, now, float64(asked.Requests))
		}
		if asked.Missing > 0 {
			d.missing[key] = now
		}
	}
}

func add[K comparable](rates map[K]*rate, key K, now time.Time, amount float64) {
	known := rates[key]
	if known == nil {
		known = &rate{}
		rates[key] = known
	}
	known.add(now, amount)
}

// share returns a model's work as a part of one replica.
func (d *demand) share(now time.Time, service, model string) float64 {
	known := d.tokens[modelKey{service, model}]
	if known == nil {
		return 0
	}
	return known.get(now) / tokensPerSecond
}

// idleFor returns for how long no request has asked for a model, as far as is known here.
func (d *demand) idleFor(now time.Time, model modelKey) time.Duration {
	asked := d.since
	if known := d.requests[model]; known != nil {
		asked = known.at
	}
	if asked.IsZero() {
		return 0
	}
	return now.Sub(asked)
}

// known reports whether any request for a service's models was ever told of.
func (d *demand) known(service string) bool {
	for key := range d.tokens {
		if key.service == service {
			return true
		}
	}
	return false
}

// adapter returns the requests a second for an adapter.
func (d *demand) adapter(now time.Time, key adapterKey) float64 {
	known := d.adapters[key]
	if known == nil {
		return 0
	}
	return known.get(now)
}

// missingLately returns the copies that requests waited for within a span.
func (d *demand) missingLately(now time.Time, span time.Duration) []adapterKey {
	var keys []adapterKey
	for key, at := range d.missing {
		if now.Sub(at) > span {
			delete(d.missing, key)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}
