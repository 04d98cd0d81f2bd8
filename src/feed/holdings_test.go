package feed

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/fault"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

func TestHoldingsOfALaterTermReplaceThoseOfAnEarlier(t *testing.T) {
	n := newTestNet(t, 2)
	s := n.follow(n.addresses()...)
	term := func() uint64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.holdings == nil {
			return 0
		}
		return s.holdings.Term
	}
	n.nodes[0].publisher.SetHoldings(&wire.Holdings{Term: 3, Version: 9})
	eventually(t, "term 3 is known", func() bool { return term() == 3 })
	n.nodes[1].publisher.SetHoldings(&wire.Holdings{Term: 4, Version: 1})
	eventually(t, "term 4 is known", func() bool { return term() == 4 })
	n.nodes[0].publisher.SetHoldings(&wire.Holdings{Term: 3, Version: 10})
	n.nodes[1].publisher.SetHoldings(&wire.Holdings{Term: 4, Version: 2})
	eventually(t, "the later term's holdings win", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.holdings.Version == 2
	})
}

// TestHoldingsAreSentAsDeltas guards against sending the complete holdings to hundreds of gateways
// for each adapter that moves.
func TestHoldingsAreSentAsDeltas(t *testing.T) {
	is := is.New(t)
	n := newTestNet(t, 1)
	p := n.nodes[0].publisher
	whole := func(version uint64, copies int) *wire.Holdings {
		h := &wire.Holdings{Term: 1, Version: version}
		for i := range copies {
			h.Copies = append(h.Copies, wire.Holding{Replica: "r", Model: "m", Adapter: "a" + string(rune('a'+i))})
		}
		return h
	}
	stream := feedStream{publisher: p, first: true}
	p.SetHoldings(whole(1, 20))
	update, _ := stream.next()
	is.Equal(len(update.Holdings.Copies), 20)
	p.SetHoldings(whole(2, 21))
	update, _ = stream.next()
	is.Equal(update.Holdings.Base, uint64(1))
	is.Equal(len(update.Holdings.Copies), 1)
	p.SetHoldings(whole(3, 20))
	update, _ = stream.next()
	is.Equal(len(update.Holdings.Copies), 0)
	is.Equal(len(update.Holdings.Gone), 1)
	p.SetHoldings(&wire.Holdings{Term: 2, Version: 1, Copies: whole(1, 20).Copies})
	update, _ = stream.next()
	is.Equal(len(update.Holdings.Copies), 20) // those of a new term are sent completely
}

// TestAFollowerKeepsUpWithHoldings checks that deltas add up to the complete holdings, also after a
// lost stream.
func TestAFollowerKeepsUpWithHoldings(t *testing.T) {
	n := newTestNet(t, 1)
	p := n.nodes[0].publisher
	var held atomic.Pointer[wire.Holdings]
	sink := Sink{Replicas: func(registry.Changes) {}, Holdings: func(h *wire.Holdings) { held.Store(h) }}
	cut := &fault.Cut{}
	f := NewFollower(Options{Node: "g", Gateway: true, Seeds: n.addresses()}, sink, &rpc.Meter{}, cut, nil, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	for version := uint64(1); version <= 12; version++ {
		h := &wire.Holdings{Term: 1, Version: version}
		for i := range 5 {
			h.Copies = append(h.Copies, wire.Holding{Replica: "r", Model: "m", Adapter: "a" + string(rune('a'+i+int(version)%3))})
		}
		p.SetHoldings(h)
		if version == 6 {
			cut.Set([]string{"127.0.0.1"})
			eventually(t, "the stream is lost", func() bool { return f.ConnectedNodes() == 0 })
			cut.Set(nil)
		}
		eventually(t, "the newest holdings arrive", func() bool {
			got := held.Load()
			if got == nil || got.Version != version || len(got.Copies) != 5 {
				return false
			}
			for _, c := range got.Copies {
				if !slices.Contains(h.Copies, c) {
					return false
				}
			}
			return true
		})
	}
}
