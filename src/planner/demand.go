package planner

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/moorspool/moorspool/src/wire"
)

// The half-lives of the estimate. It follows an increase fast, since a late copy costs attainment,
// and a decrease slowly, since a copy dropped too early costs a load.
const (
	riseHalfLife = 2 * time.Second
	fallHalfLife = 2 * time.Minute
)

// estimate is the demand for a model as the mean number of concurrent requests.
type estimate struct {
	value float64
	// sum is the busy time reported in the current interval.
	sum time.Duration
}

// demandEstimates estimates the demand for each model from the reports of gateways.
type demandEstimates struct {
	models map[string]*estimate
	// sampledAt is when the estimates were last updated from the sums.
	sampledAt time.Time
}

// sampleInterval is the interval over which busy time is averaged.
const sampleInterval = time.Second

func newDemandEstimates() *demandEstimates { return &demandEstimates{models: map[string]*estimate{}} }

// unservedDemand is the busy time counted for a request that found no copy.
const unservedDemand = time.Second

// add adds the busy time of a report to the sums.
func (d *demandEstimates) add(report wire.DemandReport) {
	for _, model := range report.Models {
		e := d.models[model.Model]
		if e == nil {
			e = &estimate{}
			d.models[model.Model] = e
		}
		e.sum += time.Duration(model.Busy)*time.Millisecond + time.Duration(model.Unserved)*unservedDemand
	}
}

// sample updates the estimates from the sums once an interval has passed.
func (d *demandEstimates) sample(now time.Time) {
	passed := now.Sub(d.sampledAt)
	if d.sampledAt.IsZero() {
		d.sampledAt = now
		return
	}
	if passed < sampleInterval {
		return
	}
	d.sampledAt = now
	for name, e := range d.models {
		measured := e.sum.Seconds() / passed.Seconds()
		e.sum = 0
		e.value = smooth(e.value, measured, passed)
		if e.value < minDemand && measured == 0 {
			delete(d.models, name)
		}
	}
}

// minDemand is the estimate below which a model counts as idle.
const minDemand = 0.001

// smooth moves an estimate towards a measured value by the time that has passed.
func smooth(value, measured float64, passed time.Duration) float64 {
	halfLife := fallHalfLife
	if measured > value {
		halfLife = riseHalfLife
	}
	keep := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	return measured + (value-measured)*keep
}

// demandOf returns the estimated demand for a model.
func (d *demandEstimates) demandOf(model string) float64 {
	if e := d.models[model]; e != nil {
		return e.value
	}
	return 0
}

// levelFactor is the factor between two levels of demand. Changes within a level do not lead to a
// new plan, which also keeps a steady load from moving models back and forth.
const levelFactor = 1.2

// levelHash returns a hash of all estimates, each rounded to its level.
func (d *demandEstimates) levelHash() uint64 {
	var sum uint64
	for name, e := range d.models {
		if e.value < minDemand {
			continue
		}
		level := int64(math.Round(math.Log(e.value) / math.Log(levelFactor)))
		sum += xxhash.Sum64String(name) * uint64(2*level+1)
	}
	return sum
}
