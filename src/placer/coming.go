package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
)

// makingWay is how long room for a load takes that other copies make way for: their closing and
// their unload.
const makingWay = closeFor + 500*time.Millisecond

// comingModel is a model without a copy, with after how long its first one is expected to serve.
type comingModel struct {
	modelKey
	in time.Duration
}

// coming returns the models without a copy of which one is being loaded, so that requests that can
// wait for it do; the lock is held.
func (p *Placer) coming(now time.Time) []comingModel {
	table := p.options.Table()
	if table == nil {
		return nil
	}
	serving := map[modelKey]bool{}
	soonest := map[modelKey]time.Duration{}
	for _, u := range p.units {
		service := table.Service(u.record.Service)
		if !u.usable || service == nil || service.Engine == nil {
			continue
		}
		for name, c := range u.copies {
			if c.phase == ready {
				serving[modelKey{service.Name, name}] = true
			}
		}
		if name, in := u.comes(now, service.Engine); name != "" {
			key := modelKey{service.Name, name}
			if known, found := soonest[key]; !found || in < known {
				soonest[key] = in
			}
		}
	}
	var models []comingModel
	for key, in := range soonest {
		if !serving[key] {
			models = append(models, comingModel{modelKey: key, in: in})
		}
	}
	slices.SortFunc(models, func(a, b comingModel) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.model, b.model))
	})
	return models
}

// comes returns the model that a replica loads or makes room for, "" if there is none, and after how
// long it is expected to serve.
func (u *unit) comes(now time.Time, e *catalog.Engine) (model string, in time.Duration) {
	for name, c := range u.copies {
		if c.phase == loading {
			took, _ := loadTime(e, u, name)
			return name, max(c.since.Add(took).Sub(now), 0)
		}
	}
	if u.next == "" {
		return "", 0
	}
	took, _ := loadTime(e, u, u.next)
	return u.next, max(u.nextSince.Add(makingWay).Sub(now), 0) + took
}

func comingModels(models []comingModel) []modelKey {
	keys := make([]modelKey, 0, len(models))
	for _, m := range models {
		keys = append(keys, m.modelKey)
	}
	return keys
}
