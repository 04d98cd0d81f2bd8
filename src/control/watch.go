package control

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// deltaCache caches encoded updates to the current revision. Most subscribers are at the same
// revision and share one update.
type deltaCache struct {
	mu   sync.Mutex
	to   config.Revision
	from map[config.Revision]json.RawMessage
}

// maxDeltas limits the number of cached updates.
const maxDeltas = 64

func (c *deltaCache) get(from, to config.Revision, make func() config.Update) (json.RawMessage, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.to != to || len(c.from) > maxDeltas {
		c.to = to
		c.from = nil
	}
	if raw := c.from[from]; raw != nil {
		return raw, nil
	}
	raw, err := json.Marshal(make())
	if err != nil {
		return nil, err
	}
	if c.from == nil {
		c.from = map[config.Revision]json.RawMessage{}
	}
	c.from[from] = raw
	return raw, nil
}

// updateFrom returns the encoded update from a revision to the current one, nil if there is no
// newer revision.
func (s *Service) updateFrom(from config.Revision) (json.RawMessage, config.Revision, error) {
	var set *config.Set
	var state *State
	var raw json.RawMessage
	var err error
	s.node.Do(func(time.Time) {
		state = s.node.replica.state
		set = state.Set()
		if from.Before(set.Revision()) {
			raw, err = s.deltas.get(from, set.Revision(), func() config.Update { return state.Since(from) })
		}
	})
	if set == nil {
		return nil, from, rpc.ErrUnreachable
	}
	return raw, set.Revision(), err
}

func (s *Service) config(_ context.Context, _ *rpc.Peer, request wire.ConfigRequest) (json.RawMessage, error) {
	raw, revision, err := s.updateFrom(request.From)
	if raw == nil && err == nil {
		return json.Marshal(config.Update{From: request.From, To: revision})
	}
	return raw, err
}

// watch sends the subscriber every configuration change from now on. Changes that come faster than
// the subscriber reads are combined into one update.
func (s *Service) watch(_ context.Context, peer *rpc.Peer, request wire.ConfigRequest) (wire.Empty, error) {
	if peer == nil {
		return wire.Empty{}, rpc.ErrUnreachable
	}
	go s.stream(peer, request.From)
	return wire.Empty{}, nil
}

func (s *Service) stream(peer *rpc.Peer, from config.Revision) {
	for {
		changed := s.node.Changed()
		raw, to, err := s.updateFrom(from)
		if err != nil {
			return
		}
		if raw != nil {
			if err := peer.Notify(wire.MethodUpdate, raw); err != nil {
				return
			}
			from = to
		}
		select {
		case <-changed:
		case <-peer.Done():
			return
		case <-s.node.ended:
			return
		}
	}
}

// Revision returns the revision of the configuration that this control node has applied.
func (s *Service) Revision() config.Revision {
	var revision config.Revision
	s.node.Do(func(time.Time) { revision = s.node.replica.state.Set().Revision() })
	return revision
}
