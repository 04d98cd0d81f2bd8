package emulator

import (
	"sync"

	"github.com/google/uuid"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/engine"
)

// memory holds the copies on an engine's accelerators. It enforces their memory limits and counts
// the orders that would have exceeded them.
type memory struct {
	mu          sync.Mutex
	host        string
	incarnation string
	checks      bool
	capacity    []config.Bytes
	copies      []*engine.Copy
	running     map[*engine.Copy]int
	epoch       uint64
	lastOrder   uint64
	seq         uint64
	version     uint64
	breaches    int
	loads       int
	unloads     int
}

func newMemory(host string, capacity []config.Bytes, checks bool) *memory {
	return &memory{
		host:        host,
		incarnation: uuid.NewString()[:8],
		checks:      checks,
		capacity:    capacity,
		running:     map[*engine.Copy]int{},
	}
}

func (m *memory) usedBytes(accelerator int) config.Bytes {
	var sum config.Bytes
	for _, c := range m.copies {
		if c.Accelerator == accelerator {
			sum += c.Bytes
		}
	}
	return sum
}

func (m *memory) find(w engine.Weights, accelerator int) *engine.Copy {
	for _, c := range m.copies {
		if c.Weights == w && c.Accelerator == accelerator {
			return c
		}
	}
	return nil
}

// apply applies an order. It returns the copy that is then to be loaded or unloaded, nil if none.
func (m *memory) apply(order engine.Order) (engine.OrderReply, *engine.Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version++
	if m.checks && m.isStale(order) {
		return engine.OrderReply{Outcome: engine.OrderStale}, nil
	}
	if !m.isStale(order) {
		m.epoch, m.lastOrder = order.Epoch, order.Seq
	}
	switch order.Action {
	case engine.ActionFence:
		return engine.OrderReply{Outcome: engine.OrderAccepted}, nil
	case engine.ActionLoad:
		return m.load(order)
	case engine.ActionUnload:
		return m.unload(order)
	}
	return engine.OrderReply{Outcome: engine.OrderInvalid, Reason: "unknown action"}, nil
}

func (m *memory) isStale(order engine.Order) bool {
	return order.Epoch < m.epoch || (order.Epoch == m.epoch && order.Seq <= m.lastOrder)
}

func (m *memory) load(order engine.Order) (engine.OrderReply, *engine.Copy) {
	if order.Accelerator < 0 || order.Accelerator >= len(m.capacity) {
		return engine.OrderReply{Outcome: engine.OrderInvalid, Reason: "no such accelerator"}, nil
	}
	if m.find(order.Weights, order.Accelerator) != nil {
		return engine.OrderReply{Outcome: engine.OrderAccepted, Reason: "here already"}, nil
	}
	if m.usedBytes(order.Accelerator)+order.Bytes > m.capacity[order.Accelerator] {
		m.breaches++
		return engine.OrderReply{Outcome: engine.OrderNoMemory}, nil
	}
	c := &engine.Copy{Weights: order.Weights, Accelerator: order.Accelerator, Bytes: order.Bytes, State: engine.CopyLoading}
	m.copies = append(m.copies, c)
	m.loads++
	return engine.OrderReply{Outcome: engine.OrderAccepted}, c
}

// unload marks an adapter, or a model with its adapters, as unloading.
func (m *memory) unload(order engine.Order) (engine.OrderReply, *engine.Copy) {
	c := m.find(order.Weights, order.Accelerator)
	if c == nil {
		return engine.OrderReply{Outcome: engine.OrderAccepted, Reason: "not here"}, nil
	}
	c.State = engine.CopyUnloading
	m.unloads++
	for _, other := range m.copies {
		if order.Weights.Adapter == "" && other.Accelerator == c.Accelerator && other.Weights.Model == c.Weights.Model && other.Weights.Version == c.Weights.Version {
			other.State = engine.CopyUnloading
		}
	}
	return engine.OrderReply{Outcome: engine.OrderAccepted}, c
}

func (m *memory) setReady(c *engine.Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.State == engine.CopyLoading {
		m.version++
		c.State = engine.CopyReady
	}
}

// removeIfIdle removes an unloading copy, with its adapters, once no request runs on it. It reports
// whether it did.
func (m *memory) removeIfIdle(c *engine.Copy) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	affected := func(other *engine.Copy) bool {
		if other == c {
			return true
		}
		return c.Weights.Adapter == "" && other.Accelerator == c.Accelerator && other.Weights.Model == c.Weights.Model && other.Weights.Version == c.Weights.Version
	}
	for other, running := range m.running {
		if running > 0 && affected(other) {
			return false
		}
	}
	kept := m.copies[:0:0]
	for _, other := range m.copies {
		if !affected(other) {
			kept = append(kept, other)
		}
	}
	m.version++
	m.copies = kept
	return true
}

// acquire counts a request on a ready copy of a model or adapter and returns the copy, nil if there
// is none.
func (m *memory) acquire(name string) *engine.Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.copies {
		named := c.Weights.Adapter == name || (c.Weights.Adapter == "" && c.Weights.Model == name)
		if named && c.State == engine.CopyReady {
			m.running[c]++
			return c
		}
	}
	return nil
}

func (m *memory) release(c *engine.Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[c]--
	if m.running[c] == 0 {
		delete(m.running, c)
	}
}

// orderCounts returns the numbers of loads and unloads so far.
func (m *memory) orderCounts() (loads, unloads int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loads, m.unloads
}

// report returns the engine's report without its load. If known is the current version, the report
// omits everything that this version covers.
func (m *memory) report(known string) engine.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	unchanged := engine.Report{Host: m.host, Incarnation: m.incarnation, Seq: m.seq, Version: m.version, LoadOnly: true, Breaches: m.breaches}
	if known != "" && known == unchanged.Known() {
		return unchanged
	}
	r := engine.Report{
		Host:        m.host,
		Incarnation: m.incarnation,
		Seq:         m.seq,
		Version:     m.version,
		Epoch:       m.epoch,
		LastOrder:   m.lastOrder,
		Capacity:    m.capacity,
		Breaches:    m.breaches,
	}
	for _, c := range m.copies {
		r.Copies = append(r.Copies, *c)
	}
	return r
}
