package exchange

import (
	"sync"
	"time"
)

// How long a copy that requests lack takes to come is learned, for models and adapters
// apart, the way TCP learns a round trip (RFC 6298): a smoothed time and its deviation.
const (
	// initialAdapter is assumed of an adapter: one that a replica fetches takes some
	// tens of ms, the order for it as long again.
	initialAdapter = 150 * time.Millisecond
	// arrivalGain and deviationGain are the shares of a sample, from RFC 6298.
	arrivalGain   = 0.125
	deviationGain = 0.25
	// arrivalMargin is how many deviations after the smoothed time a copy is still
	// expected.
	arrivalMargin = 2
	// arrivalForget is after how long a copy that did not come is no longer waited for.
	arrivalForget = 30 * time.Second
)

// arrivalEstimate is the learned time until a copy comes.
type arrivalEstimate struct {
	mean      time.Duration
	deviation time.Duration
	learned   bool
}

func (a *arrivalEstimate) learn(took time.Duration) {
	if !a.learned {
		*a = arrivalEstimate{mean: took, deviation: took / 2, learned: true}
		return
	}
	off := took - a.mean
	a.mean += time.Duration(float64(off) * arrivalGain)
	a.deviation += time.Duration(float64(off.Abs()-a.deviation) * deviationGain)
}

// within is by when after it was asked for a copy is expected.
func (a *arrivalEstimate) within() time.Duration { return a.mean + arrivalMargin*a.deviation }

// arrivals are the copies that requests lack and when they are expected; it is safe for
// concurrent use.
type arrivals struct {
	mu       sync.Mutex
	asked    map[indexKey]time.Time
	models   arrivalEstimate
	adapters arrivalEstimate
}

func newArrivals() *arrivals {
	return &arrivals{asked: map[indexKey]time.Time{}, adapters: arrivalEstimate{mean: initialAdapter, deviation: initialAdapter / 2}}
}

// lacked notes that a request lacks a copy and returns by when it is expected, false if
// it is overdue. Load is what loading the model takes, for as long as nothing was learned.
func (a *arrivals) lacked(now time.Time, key indexKey, load time.Duration) (by time.Time, expected bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	since, known := a.asked[key]
	if !known {
		since = now
		a.asked[key] = now
	}
	by = since.Add(a.expectation(key, load))
	return by, now.Before(by)
}

// expectation is how long after it was asked for a copy is expected; the lock is held.
func (a *arrivals) expectation(key indexKey, load time.Duration) time.Duration {
	if key.held.adapter != "" {
		return a.adapters.within()
	}
	if !a.models.learned {
		return load
	}
	return a.models.within()
}

// settle learns from the copies that have come, as there tells, and forgets those that
// did not.
func (a *arrivals) settle(now time.Time, there func(indexKey) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, since := range a.asked {
		took := now.Sub(since)
		switch {
		case there(key):
			a.of(key).learn(took)
			delete(a.asked, key)
		case took > arrivalForget:
			delete(a.asked, key)
		}
	}
}

// of returns what is learned of copies like one; the lock is held.
func (a *arrivals) of(key indexKey) *arrivalEstimate {
	if key.held.adapter != "" {
		return &a.adapters
	}
	return &a.models
}
