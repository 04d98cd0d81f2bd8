package planner

import (
	"sort"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/ledger"
)

// copyKey identifies a copy of a model.
type copyKey struct {
	host        string
	accelerator int
	model       string
	version     string
}

// heldCopy is a copy of a model on an accelerator, with its adapters.
type heldCopy struct {
	key   copyKey
	ready bool
	// hasModel is false for adapters whose model is neither resident nor ordered.
	hasModel bool
	adapters map[string]engine.CopyState
}

// adapterNames returns the names of the copy's adapters in order.
func (c heldCopy) adapterNames() []string {
	names := make([]string, 0, len(c.adapters))
	for name := range c.adapters {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// missingAdapterMemory is the memory of the configured adapters that the copy lacks.
func (c heldCopy) missingAdapterMemory(set *config.Set) config.Bytes {
	var sum config.Bytes
	for _, name := range set.AdapterNames(c.key.model) {
		if _, found := c.adapters[name]; !found {
			sum += set.Adapter(name).Memory
		}
	}
	return sum
}

// cachedCopies are the copies on a host's accelerators at a change count of its ledger.
type cachedCopies struct {
	hostLedger *ledger.Host
	changes    uint64
	copies     [][]heldCopy
}

// copiesAt returns the resident and ordered copies on an accelerator in a fixed order. They are
// cached until the ledger of the host changes.
func (z *Zone) copiesAt(hostName string, accelerator int) []heldCopy {
	host := z.ledger.Host(hostName)
	cached := z.copies[hostName]
	if cached.hostLedger != host || cached.changes != host.Changes() || len(cached.copies) != host.Accelerators() {
		cached = cachedCopies{hostLedger: host, changes: host.Changes()}
		for i := 0; i < host.Accelerators(); i++ {
			cached.copies = append(cached.copies, findCopies(host, hostName, i))
		}
		z.copies[hostName] = cached
	}
	return cached.copies[accelerator]
}

// findCopies returns the resident and ordered copies on an accelerator.
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
		held.hasModel = true
		held.ready = copied.State == engine.CopyReady
	}
	for _, order := range host.PendingOrders() {
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
		held.hasModel = true
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
