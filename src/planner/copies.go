package planner

import (
	"sort"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/ledger"
)

// copyKey names a copy of a model.
type copyKey struct {
	host        string
	accelerator int
	model       string
	version     string
}

// heldCopy is a model on an accelerator with the adapters it has there.
type heldCopy struct {
	key   copyKey
	ready bool
	// based is false for adapters whose model is neither here nor ordered.
	based    bool
	adapters map[string]engine.CopyState
}

func (c heldCopy) adapterNames() []string {
	names := make([]string, 0, len(c.adapters))
	for name := range c.adapters {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// owed is the memory of the adapters that the copy should have and has not.
func (c heldCopy) owed(set *config.Set) config.Bytes {
	var sum config.Bytes
	for _, name := range set.AdapterNames(c.key.model) {
		if _, found := c.adapters[name]; !found {
			sum += set.Adapter(name).Memory
		}
	}
	return sum
}

// cachedCopies are a host's copies as they were at a count of its changes.
type cachedCopies struct {
	account *ledger.Host
	changes uint64
	copies  [][]heldCopy
}

// copiesAt returns the copies on an accelerator, resident and ordered, in a
// fixed order. They are worked out anew only after the host's account changed.
func (z *Zone) copiesAt(hostName string, accelerator int) []heldCopy {
	host := z.ledger.Host(hostName)
	cached := z.copies[hostName]
	if cached.account != host || cached.changes != host.Changes() || len(cached.copies) != host.Accelerators() {
		cached = cachedCopies{account: host, changes: host.Changes()}
		for i := 0; i < host.Accelerators(); i++ {
			cached.copies = append(cached.copies, findCopies(host, hostName, i))
		}
		z.copies[hostName] = cached
	}
	return cached.copies[accelerator]
}

func findCopies(host *ledger.Host, hostName string, accelerator int) []heldCopy {
	byKey := map[copyKey]*heldCopy{}
	get := func(w engine.Weights) *heldCopy {
		key := copyKey{hostName, accelerator, w.Model, w.Version}
		if byKey[key] == nil {
			byKey[key] = &heldCopy{key: key, adapters: map[string]engine.CopyState{}}
		}
		return byKey[key]
	}
	for _, copied := range host.Report().Copies {
		if copied.Accelerator != accelerator || copied.State == engine.CopyFailed {
			continue
		}
		held := get(copied.Weights)
		if copied.Weights.Adapter != "" {
			held.adapters[copied.Weights.Adapter] = copied.State
			continue
		}
		held.based = true
		held.ready = copied.State == engine.CopyReady
	}
	for _, order := range host.Pending() {
		if order.Accelerator != accelerator || order.Action != engine.ActionLoad {
			continue
		}
		held := get(order.Weights)
		if adapter := order.Weights.Adapter; adapter != "" {
			if _, found := held.adapters[adapter]; !found {
				held.adapters[adapter] = engine.CopyLoading
			}
			continue
		}
		held.based = true
	}
	all := make([]heldCopy, 0, len(byKey))
	for _, held := range byKey {
		all = append(all, *held)
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i].key, all[j].key
		if a.model != b.model {
			return a.model < b.model
		}
		return a.version < b.version
	})
	return all
}
