package control

import (
	"context"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/fault"
	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// The times after which a link without a sign is tried with a ping; the ping has as long
// again.
const (
	// linkSilence is that of a link for calls.
	linkSilence = 400 * time.Millisecond
	// messageSilence is that of a link for consensus messages, on which nothing comes back
	// but answers to pings: a node that is short of processor time answers late, and a link
	// that is closed loses the votes on their way. With 400 ms and a processor filled by
	// 1,200 streams, links were closed between nodes that were well, and the first leader
	// after a loss of all power came 2.7 to 4.0 s after the first start.
	messageSilence = time.Second
)

// messageTimeout bounds the wait for a link when a consensus message goes out;
// one that is older has been overtaken by the next heartbeat.
const messageTimeout = 300 * time.Millisecond

// messageQueue bounds the consensus messages that wait for a link.
const messageQueue = 512

// Links are a control node's connections to others, made when they are first
// needed; they are safe for concurrent use.
type Links struct {
	meter *rpc.Meter
	cut   *fault.Cut

	mu    sync.Mutex
	links map[string]*link
}

// link leads to one node. Consensus messages have a connection of their own: notifications
// on a connection are handled in order, and one that takes long must not hold up a vote.
type link struct {
	client   *rpc.Client
	messages *rpc.Client
	queue    chan raft.Message
}

// NewLinks returns links without connections.
func NewLinks(meter *rpc.Meter, cut *fault.Cut) *Links {
	return &Links{meter: meter, cut: cut, links: map[string]*link{}}
}

func (l *Links) get(address string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.links[address]
	if known == nil {
		known = &link{
			client:   rpc.NewClient(address, rpc.NewMux(), l.meter, l.cut, linkSilence),
			messages: rpc.NewClient(address, rpc.NewMux(), l.meter, l.cut, messageSilence),
			queue:    make(chan raft.Message, messageQueue),
		}
		l.links[address] = known
		go known.forward()
	}
	return known
}

// Client returns the connection for calls to a node's address.
func (l *Links) Client(address string) *rpc.Client { return l.get(address).client }

// Send queues a consensus message; one to a node that can't be reached is lost.
func (l *Links) Send(m raft.Message) {
	select {
	case l.get(nameOf(m.To)).queue <- m:
	default:
	}
}

func (l *link) forward() {
	for m := range l.queue {
		ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
		_ = l.messages.Notify(ctx, wire.MethodStep, m)
		cancel()
	}
}
