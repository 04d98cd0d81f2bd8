package work

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// minFactor and maxFactor bound a factor, so that wrong samples can neither draw all requests
	// to a replica nor keep all away from it.
	minFactor = 0.25
	maxFactor = 4.0
	// factorGain is the weight of one sample once a replica has many. Replicas are slow for some 0.1
	// s at a time for reasons of their hosts, which they tell themselves, so that a factor should
	// hold for seconds.
	factorGain = 0.02
	// maxFactorError bounds the distance, on a logarithmic scale, at which a sample counts. An
	// outlier then weighs no more than a sample that is 1.6 times the estimate.
	maxFactorError = 0.5
	// maxSamplesPerAdd bounds the samples that are counted of one report, so that the reports of
	// one gateway can't outweigh those of all others.
	maxSamplesPerAdd = 4
	// minRatio and maxRatio bound a ratio that is taken for a measurement at all.
	minRatio = 1.0 / 64
	maxRatio = 64.0
	// factorHalfLife is the time without samples after which half of what was learned is forgotten.
	// A slow replica gets few requests; it is tried again within a minute.
	factorHalfLife = 20 * time.Second
	// factorTTL is the time without samples after which a replica is dropped.
	factorTTL = 10 * factorHalfLife
	// meanInterval is how long the mean of all replicas is kept before it is computed again.
	meanInterval = 100 * time.Millisecond
)

// Factors holds, for each replica, how long its work takes relative to the mean replica of its
// service: 1 is as long, 2 is twice as long. It is not safe for concurrent use.
type Factors struct {
	replicas map[string]*factor
	// mean is the mean of all logarithms as of meanAt. The factors are relative to it.
	mean   float64
	meanAt time.Time
}

// factor is the estimate for one replica.
type factor struct {
	// log is the natural logarithm of the estimated ratio as of at.
	log     float64
	samples int
	at      time.Time
}

// NewFactors returns factors without samples.
func NewFactors() *Factors { return &Factors{replicas: map[string]*factor{}} }

// Add adds count samples of a replica whose mean ratio of observed to expected time is ratio.
func (f *Factors) Add(now time.Time, replica string, ratio float64, count int) {
	if count <= 0 || !(ratio >= minRatio && ratio <= maxRatio) {
		return
	}
	known := f.replicas[replica]
	if known == nil {
		known = &factor{log: f.currentMean(now), at: now}
		f.replicas[replica] = known
	}
	known.fade(now, f.currentMean(now))
	for range min(count, maxSamplesPerAdd) {
		known.add(math.Log(ratio))
	}
}

// add moves the estimate towards a sample.
func (k *factor) add(sample float64) {
	gain := max(factorGain, 1/float64(k.samples+2))
	k.samples = min(k.samples+1, 1<<20)
	k.log += gain * min(max(sample-k.log, -maxFactorError), maxFactorError)
	k.log = min(max(k.log, math.Log(minFactor)), math.Log(maxFactor))
}

// fade moves the estimate towards the mean by the time that has passed since its last sample.
func (k *factor) fade(now time.Time, mean float64) {
	k.log = k.faded(now, mean)
	if now.After(k.at) {
		k.at = now
	}
}

func (k *factor) faded(now time.Time, mean float64) float64 {
	idle := now.Sub(k.at)
	if idle <= 0 {
		return k.log
	}
	return mean + (k.log-mean)*math.Exp2(-float64(idle)/float64(factorHalfLife))
}

// Factor returns the factor of a replica, 1 if it is unknown.
func (f *Factors) Factor(now time.Time, replica string) float64 {
	known := f.replicas[replica]
	if known == nil {
		return 1
	}
	mean := f.currentMean(now)
	return min(max(math.Exp(known.faded(now, mean)-mean), minFactor), maxFactor)
}

// Forget drops a replica that has ended.
func (f *Factors) Forget(replica string) { delete(f.replicas, replica) }

// currentMean returns the mean logarithm of the replicas that have samples. It is computed again if
// it is older than meanInterval.
func (f *Factors) currentMean(now time.Time) float64 {
	if age := now.Sub(f.meanAt); !f.meanAt.IsZero() && age >= 0 && age < meanInterval {
		return f.mean
	}
	sum := 0.0
	// The sum of floating-point numbers depends on their order.
	for _, id := range slices.Sorted(maps.Keys(f.replicas)) {
		known := f.replicas[id]
		if now.Sub(known.at) > factorTTL {
			delete(f.replicas, id)
			continue
		}
		sum += known.faded(now, f.mean)
	}
	f.mean, f.meanAt = 0, now
	if len(f.replicas) > 0 {
		f.mean = sum / float64(len(f.replicas))
	}
	return f.mean
}
