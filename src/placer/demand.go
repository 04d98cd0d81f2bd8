package placer

import (
	"math"
	"time"

	"github.com/moorspool/moorspool/src/wire"
)

// demandHalfLife is the half-life of the rates of demand.
const demandHalfLife = 3 * time.Second

// tokensPerSecond is the number of prompt tokens that an engine processes in a second. It
// converts the prompt tokens of requests to work, as a fraction of a replica.
const tokensPerSecond = 18000.0

// decayingRate is an exponentially decaying average of a rate.
type decayingRate struct {
	value float64
	at    time.Time
}

// add adds an amount at a time.
func (r *decayingRate) add(now time.Time, amount float64) {
	r.value = r.get(now) + amount*math.Ln2/demandHalfLife.Seconds()
	r.at = now
}

// get returns the rate per second.
func (r *decayingRate) get(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp2(-float64(now.Sub(r.at))/float64(demandHalfLife))
}

// modelKey identifies a model of a service.
type modelKey struct {
	service string
	model   string
}

// adapterKey identifies an adapter of a model; adapter is "" for the model itself.
type adapterKey struct {
	service string
	model   string
	adapter string
}

// demand is what requests ask for, as reported by gateways.
type demand struct {
	tokens   map[modelKey]*decayingRate
	requests map[modelKey]*decayingRate
	adapters map[adapterKey]*decayingRate
	// missing holds the models and adapters that requests waited for, with the time of the last
	// report.
	missing map[adapterKey]time.Time
	// firstUsageAt is when the first usage was reported; zero before.
	firstUsageAt time.Time
}

func newDemand() *demand {
	return &demand{tokens: map[modelKey]*decayingRate{}, requests: map[modelKey]*decayingRate{}, adapters: map[adapterKey]*decayingRate{}, missing: map[adapterKey]time.Time{}}
}

// record adds the usage reported by a gateway.
func (d *demand) record(now time.Time, usage wire.Usage) {
	if d.firstUsageAt.IsZero() {
		d.firstUsageAt = now
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

func add[K comparable](rates map[K]*decayingRate, key K, now time.Time, amount float64) {
	known := rates[key]
	if known == nil {
		known = &decayingRate{}
		rates[key] = known
	}
	known.add(now, amount)
}

// workOf returns the work of a model as a fraction of a replica.
func (d *demand) workOf(now time.Time, service, model string) float64 {
	known := d.tokens[modelKey{service, model}]
	if known == nil {
		return 0
	}
	return known.get(now) / tokensPerSecond
}

// idleFor returns how long no request for a model has been reported.
func (d *demand) idleFor(now time.Time, model modelKey) time.Duration {
	asked := d.firstUsageAt
	if known := d.requests[model]; known != nil {
		asked = known.at
	}
	if asked.IsZero() {
		return 0
	}
	return now.Sub(asked)
}

// hasUsage reports whether any request for a model of a service has been reported.
func (d *demand) hasUsage(service string) bool {
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

// recentlyMissing returns the models and adapters that requests waited for within a span.
func (d *demand) recentlyMissing(now time.Time, span time.Duration) []adapterKey {
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
