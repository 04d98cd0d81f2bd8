package feed

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// Hear takes in a replica's call. It reports whether the call may be
// acknowledged: a replica that leaves must be known to a majority first, so
// that a gateway learns of it whatever becomes of this node.
func (p *Publisher) Hear(ctx context.Context, record registry.Record) bool {
	p.mu.Lock()
	if fault := p.fault(&record); fault != "" {
		p.mu.Unlock()
		p.cluster.Misread(record.ReplicaName(), fault)
		return false
	}
	if p.table.Hear(p.now(), record) {
		p.wake()
	}
	known := p.spreadTo[record.ID]
	p.mu.Unlock()
	if !record.Leaving() || known.gone || known.draining && !record.Gone {
		return true
	}
	if !p.spread(ctx, record) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spreadTo[record.ID] = leaving{draining: true, gone: record.Gone, at: p.now()}
	return true
}

// fault returns why a call can't be of the replica that it names, "" if it can: a start keeps its
// service and its address, and one that is new here has a service that is named. Before the first
// configuration no new one can be told from another writer's; replicas call again within their
// heartbeat, and those known before a restart are recalled. The lock is held.
func (p *Publisher) fault(record *registry.Record) string {
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

// Remove takes in that a replica of a name has ended or is about to. Other nodes may know of its
// start where this one does not.
func (p *Publisher) Remove(ctx context.Context, name string) bool {
	p.mu.Lock()
	record, found := p.table.Leaver(name)
	p.mu.Unlock()
	if !found {
		record = registry.Record{ID: name}
	}
	record.Gone = true
	return p.Hear(ctx, record)
}

// spread tells the other nodes of a replica that leaves and waits until a majority,
// this one included, has saved it: after a restart none of them may take the
// replica for one that stays. A node that knows no members can't tell what a majority is.
func (p *Publisher) spread(ctx context.Context, record registry.Record) bool {
	others, known := p.cluster.Majority()
	if !known {
		return false
	}
	peers := p.cluster.Peers()
	needed := others + 1
	answers := make(chan error, len(peers)+1)
	ctx, cancel := context.WithTimeout(ctx, noteTimeout)
	go func() { answers <- p.save() }()
	for _, address := range peers {
		go func() { answers <- p.cluster.Note(ctx, address, record) }()
	}
	told := 0
	for range len(peers) + 1 {
		if err := p.answer(ctx, answers); err == nil {
			told++
		}
		if told >= needed {
			break
		}
	}
	if told >= needed {
		// The slower ones still learn of it.
		time.AfterFunc(noteTimeout, cancel)
		return true
	}
	cancel()
	return false
}

// answer waits for the next answer or the end of the context.
func (p *Publisher) answer(ctx context.Context, answers <-chan error) error {
	select {
	case err := <-answers:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Publisher) note(_ context.Context, _ *rpc.Peer, request wire.NoteRequest) (wire.Empty, error) {
	p.mu.Lock()
	if p.table.Note(p.now(), request.Record) {
		p.wake()
	}
	p.mu.Unlock()
	return wire.Empty{}, p.save()
}
