package feed

import (
	"context"
	"slices"
	"time"

	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// ApplyHeartbeat processes a replica's heartbeat and reports whether it may be acknowledged. The
// departure of a replica is acknowledged only once a majority of control nodes has saved it, so
// that gateways learn of it even if this node fails.
func (p *Publisher) ApplyHeartbeat(ctx context.Context, record registry.Record) bool {
	p.mu.Lock()
	if rejectionReason := p.rejectionReason(&record); rejectionReason != "" {
		p.mu.Unlock()
		p.cluster.HeartbeatRefused(record.ReplicaName(), rejectionReason)
		return false
	}
	if p.table.ApplyHeartbeat(p.now(), record) {
		p.notifyChanged()
	}
	known := p.departures[record.ID]
	p.mu.Unlock()
	if !record.Leaving() || known.gone || known.draining && !record.Gone {
		return true
	}
	if !p.replicateDeparture(ctx, record) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.departures[record.ID] = departure{draining: true, gone: record.Gone, at: p.now()}
	return true
}

// rejectionReason returns why a heartbeat can't come from the replica that it names, or "". A start
// of a replica keeps its service and address, and a new one must name a configured service. Before
// the first configuration is known, new replicas are rejected, since they can't be told from
// unrelated senders; replicas repeat their heartbeats, and those known before a restart are
// restored by Recall. The caller holds the lock.
func (p *Publisher) rejectionReason(record *registry.Record) string {
	known, found := p.table.Record(record.ID)
	switch {
	case !found && !record.Leaving() && !p.cluster.Serves(record.Service):
		return "service " + record.Service + " is not in the configuration"
	case found && !record.Gone && known.Service != "" && record.Service != known.Service:
		return "it has another service than before"
	case found && !record.Gone && known.Address != "" && record.Address != known.Address:
		return "it has another address than before"
	}
	return ""
}

// hangUpWait is how long an end notice that may be meant for any of several starts waits for its caller's connection to
// turn out closed. Reading both takes less than 1 ms.
const hangUpWait = 20 * time.Millisecond

// HandleEnd records that a replica has ended or is about to. The start that the notice refers to may
// have sent its heartbeats to other nodes. A replica that no node is known to have heard of is recorded
// all the same, since one may have just seen it start.
//
// A notice that waited while this node stood still arrives together with the end of its connection: its caller has told
// another node, and may have started again since.
func (p *Publisher) HandleEnd(ctx context.Context, name string) bool {
	starts := p.starts(name)
	if severalStarts(starts) {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(hangUpWait):
		}
		starts = p.starts(name)
	}
	record, found := registry.EndingStart(starts)
	if !found {
		record = registry.Record{ID: name}
	}
	record.Gone = true
	return p.ApplyHeartbeat(ctx, record)
}

// starts returns the records of all starts of a replica that this node knows of, of some several.
func (p *Publisher) starts(name string) []registry.Record {
	starts := p.cluster.Starts(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	return append(starts, p.table.Starts(name)...)
}

// severalStarts reports whether records belong to more than one start.
func severalStarts(records []registry.Record) bool {
	return slices.ContainsFunc(records, func(r registry.Record) bool { return r.ID != records[0].ID })
}

// replicateDeparture sends the record of a leaving replica to the other nodes and waits until a
// majority, this node included, has saved it: after a restart none of them may treat the replica as
// running. A node that knows no members can't determine a majority and fails.
func (p *Publisher) replicateDeparture(ctx context.Context, record registry.Record) bool {
	others, known := p.cluster.Majority()
	if !known {
		return false
	}
	peers := p.cluster.Peers()
	needed := others + 1
	answers := make(chan error, len(peers)+1)
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	go func() { answers <- p.save() }()
	for _, address := range peers {
		go func() { answers <- p.cluster.SendDeparture(ctx, address, record) }()
	}
	stored := 0
	for range len(peers) + 1 {
		if err := p.awaitAnswer(ctx, answers); err == nil {
			stored++
		}
		if stored >= needed {
			break
		}
	}
	if stored >= needed {
		// The slower nodes get the record too.
		time.AfterFunc(departureTimeout, cancel)
		return true
	}
	cancel()
	return false
}

// awaitAnswer waits for the next answer or the end of the context.
func (p *Publisher) awaitAnswer(ctx context.Context, answers <-chan error) error {
	select {
	case err := <-answers:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handleNote saves a leaving replica's record that another node forwarded.
func (p *Publisher) handleNote(_ context.Context, _ *rpc.Peer, request wire.NoteRequest) (wire.Empty, error) {
	p.mu.Lock()
	if p.table.ApplyForwarded(p.now(), request.Record) {
		p.notifyChanged()
	}
	p.mu.Unlock()
	return wire.Empty{}, p.save()
}
