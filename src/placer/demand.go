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

const millisecondsPerSecond = 1000

// minZoneRequests is the rate of requests for a model, per second, below which the zones of its
// requests are too random to place copies by.
const minZoneRequests = 2.0

// The work of a model that is planned for, relative to its recent work. Demand that swings within
// some seconds must not move copies: one that follows a swing is loaded when the swing is over.
const (
	// steadyHalfLife is the half-life of the rates that are planned for, more than the period of a
	// usual swing.
	steadyHalfLife = 15 * time.Second
	// maxDeviation bounds the ratio between the work that is planned for and the recent work, which
	// averages over most of a swing itself. Demand that moves to other models exceeds it at once.
	maxDeviation = 1.3
)

// steadyWork returns the work to plan for, from the mean over some swings and the recent work.
func steadyWork(mean, recent float64) float64 {
	return min(max(mean, recent/maxDeviation), recent*maxDeviation)
}

// decayingRate is an exponentially decaying average of a rate.
type decayingRate struct {
	value float64
	at    time.Time
	// halfLife is the half-life of the average; 0 stands for demandHalfLife.
	halfLife time.Duration
}

// span returns the half-life of the average.
func (r *decayingRate) span() time.Duration {
	if r.halfLife == 0 {
		return demandHalfLife
	}
	return r.halfLife
}

// add adds an amount at a time.
func (r *decayingRate) add(now time.Time, amount float64) {
	r.value = r.get(now) + amount*math.Ln2/r.span().Seconds()
	r.at = now
}

// get returns the rate per second.
func (r *decayingRate) get(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp2(-float64(now.Sub(r.at))/float64(r.span()))
}

// meanRate is a decaying average that knows since when it has been fed.
type meanRate struct {
	rate  decayingRate
	since time.Time
}

// minMeanTime is the shortest time that counts as the time for which a mean has been fed.
const minMeanTime = 2 * time.Second

// completeness is the part of its final value that the mean of a constant rate has reached.
func (m *meanRate) completeness(now time.Time) float64 {
	fed := max(now.Sub(m.since), minMeanTime)
	return 1 - math.Exp2(-float64(fed)/float64(m.rate.span()))
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

// zoneKey identifies the demand for a model in an availability zone.
type zoneKey struct {
	modelKey
	zone string
}

// demand is what requests ask for, as reported by gateways.
type demand struct {
	// work is how long requests occupy whole replicas, in seconds a second. meanWork is its mean
	// over a longer time.
	work     map[modelKey]*decayingRate
	meanWork map[modelKey]*meanRate
	// zones holds the requests by the zones of the gateways that received them.
	zones    map[zoneKey]*decayingRate
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
	return &demand{work: map[modelKey]*decayingRate{}, meanWork: map[modelKey]*meanRate{}, zones: map[zoneKey]*decayingRate{}, tokens: map[modelKey]*decayingRate{}, requests: map[modelKey]*decayingRate{}, adapters: map[adapterKey]*decayingRate{}, missing: map[adapterKey]time.Time{}}
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
		if asked.WorkMS > 0 {
			d.addWork(now, model, asked.WorkMS/millisecondsPerSecond)
		}
		if usage.Zone != "" {
			add(d.zones, zoneKey{model, usage.Zone}, now, float64(asked.Requests))
		}
		key := adapterKey{asked.Service, asked.Model, asked.Adapter}
		if asked.Adapter != "" {
			add(d.adapters, key, now, float64(asked.Requests))
		}
		if asked.Missing > 0 {
			d.missing[key] = now
		}
	}
}

// addWork adds the work of requests for a model, in seconds of a replica.
func (d *demand) addWork(now time.Time, model modelKey, seconds float64) {
	add(d.work, model, now, seconds)
	mean := d.meanWork[model]
	if mean == nil {
		mean = &meanRate{rate: decayingRate{halfLife: steadyHalfLife}, since: now}
		d.meanWork[model] = mean
	}
	mean.rate.add(now, seconds)
}

func add[K comparable](rates map[K]*decayingRate, key K, now time.Time, amount float64) {
	known := rates[key]
	if known == nil {
		known = &decayingRate{}
		rates[key] = known
	}
	known.add(now, amount)
}

// workOf returns the work of a model as a fraction of a replica, by the time that its requests
// occupy replicas where gateways estimate it, else by their tokens.
func (d *demand) workOf(now time.Time, service, model string) float64 {
	key := modelKey{service, model}
	if recent := d.work[key]; recent != nil {
		mean := d.meanWork[key]
		return steadyWork(mean.rate.get(now)/mean.completeness(now), recent.get(now))
	}
	known := d.tokens[modelKey{service, model}]
	if known == nil {
		return 0
	}
	return known.get(now) / tokensPerSecond
}

// zoneShares returns the part of a model's requests that comes from each of the zones, nil if the
// model has too few requests.
func (d *demand) zoneShares(now time.Time, model modelKey, zones []string) map[string]float64 {
	total := 0.0
	shares := make(map[string]float64, len(zones))
	for _, zone := range zones {
		if known := d.zones[zoneKey{model, zone}]; known != nil {
			shares[zone] = known.get(now)
			total += shares[zone]
		}
	}
	if total < minZoneRequests {
		return nil
	}
	for _, zone := range zones {
		shares[zone] /= total
	}
	return shares
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
