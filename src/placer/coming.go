package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
)

// makeRoomTime is how long it takes to make room for a load: the drain and the unload of other
// copies.
const makeRoomTime = drainTime + 500*time.Millisecond

// comingModel is a model without a ready copy, and the time until its first copy is expected to be
// ready.
type comingModel struct {
	modelKey
	readyIn time.Duration
}

// coming returns the models without a ready copy of which one is being loaded or will be, so that
// requests that can wait for it do. The lock is held.
func (p *Placer) coming(now time.Time) []comingModel {
	table := p.options.Table()
	if table == nil {
		return nil
	}
	serving := map[modelKey]bool{}
	soonest := map[modelKey]time.Duration{}
	for _, r := range p.replicas {
		service := table.Service(r.record.Service)
		if !r.usable || service == nil || service.Engine == nil {
			continue
		}
		for name, c := range r.copies {
			if c.phase == ready {
				serving[modelKey{service.Name, name}] = true
			}
		}
		if name, readyIn := r.expectedLoad(now, service.Engine); name != "" {
			key := modelKey{service.Name, name}
			if known, found := soonest[key]; !found || readyIn < known {
				soonest[key] = readyIn
			}
		}
	}
	var models []comingModel
	for key, readyIn := range soonest {
		if !serving[key] {
			models = append(models, comingModel{modelKey: key, readyIn: readyIn})
		}
	}
	slices.SortFunc(models, func(a, b comingModel) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.model, b.model))
	})
	return models
}

// expectedLoad returns the model that a replica loads or makes room for, "" if there is none, and
// the time until it is expected to be ready.
func (r *replicaState) expectedLoad(now time.Time, e *catalog.Engine) (model string, readyIn time.Duration) {
	for name, c := range r.copies {
		if c.phase == loading {
			loadDuration, _ := loadTime(e, r, name)
			return name, max(c.since.Add(loadDuration).Sub(now), 0)
		}
	}
	if r.pendingLoad == "" {
		return "", 0
	}
	loadDuration, _ := loadTime(e, r, r.pendingLoad)
	return r.pendingLoad, max(r.pendingLoadSince.Add(makeRoomTime).Sub(now), 0) + loadDuration
}

// comingKeys returns the models without their times, which change with each call.
func comingKeys(models []comingModel) []modelKey {
	keys := make([]modelKey, 0, len(models))
	for _, m := range models {
		keys = append(keys, m.modelKey)
	}
	return keys
}
