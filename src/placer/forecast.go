package placer

import (
	"time"

	"github.com/moorspool/moorspool/src/catalog"
)

const (
	// forecastFraction is the fraction of the mean work of the busy models that is expected of each
	// model that comes next. These are half as many as the busy models.
	forecastFraction = 0.5
	// busyFraction is the fraction of the busiest model's work from which on a model counts as
	// busy.
	busyFraction = 0.2
	// minWork is the work below which a model counts as not requested.
	minWork = 0.02
	// priorWorkPerCopy is the work assumed for each copy before the first request.
	priorWorkPerCopy = 0.3
)

// modelWork returns the work of each model as a fraction of a replica, in the order of the catalog.
func (p *Placer) modelWork(now time.Time, s *catalog.Service) []float64 {
	modelWork := make([]float64, len(s.Engine.Models))
	for i := range s.Engine.Models {
		modelWork[i] = p.demand.workOf(now, s.Name, s.Engine.Models[i].Name)
	}
	return modelWork
}

// priorWork estimates the work of each model before the first request. Operators preload busy
// models on many replicas.
func priorWork(e *catalog.Engine, replicas []*replicaState) []float64 {
	modelWork := make([]float64, len(e.Models))
	for i := range e.Models {
		copies := 0
		for _, r := range replicas {
			if r.usable && r.copies[e.Models[i].Name] != nil {
				copies++
			}
		}
		if copies > 1 {
			modelWork[i] = float64(copies) * priorWorkPerCopy
		}
	}
	return modelWork
}

// forecast adds the demand that is expected soon. Operators list models in the order in which
// demand moves along the list, so that demand is expected next for the models that follow the busy
// ones.
func forecast(modelWork []float64) []float64 {
	expected := append([]float64(nil), modelWork...)
	busy := busyRun(modelWork)
	if len(busy) == 0 {
		return expected
	}
	total := 0.0
	for _, i := range busy {
		total += modelWork[i]
	}
	last := busy[len(busy)-1]
	ahead := (len(busy) + 1) / 2
	for next := last + 1; next <= last+ahead && next < len(modelWork); next++ {
		expected[next] = max(expected[next], total/float64(len(busy))*forecastFraction)
	}
	return expected
}

// busyRun returns the indices of the adjacent busy models that have the most work together.
func busyRun(modelWork []float64) []int {
	most := 0.0
	for _, work := range modelWork {
		most = max(most, work)
	}
	var best, run []int
	bestSum, sum := 0.0, 0.0
	for i, work := range modelWork {
		if work < most*busyFraction || work < minWork {
			run, sum = nil, 0
			continue
		}
		run = append(run, i)
		if sum += work; sum > bestSum {
			best, bestSum = run, sum
		}
	}
	return best
}
