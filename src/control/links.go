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

// An idle connection is checked with a ping after these times; the ping must be answered within the
// same time again.
const (
	// callPingTimeout applies to connections for calls.
	callPingTimeout = 400 * time.Millisecond
	// messagePingTimeout applies to connections for consensus messages, which receive nothing but
	// ping replies. A node that is short of CPU time replies late, and closing the connection loses
	// the votes in flight. With 400 ms on a CPU saturated by 1,200 streams, connections between
	// healthy nodes were closed, and after a full power loss the first leader was elected 2.7 to
	// 4.0 s after the first start.
	messagePingTimeout = time.Second
)

// messageTimeout bounds how long a consensus message waits for a connection. An older message has
// been superseded by the next heartbeat.
const messageTimeout = 300 * time.Millisecond

// messageQueueSize bounds the consensus messages queued for a connection.
const messageQueueSize = 512

// Links holds a control node's connections to others, which are opened on first use. It is safe for
// concurrent use.
type Links struct {
	meter *rpc.Meter
	cut   *fault.Cut

	mu    sync.Mutex
	links map[string]*link
}

// link holds the connections to one node. Consensus messages have a connection of their own, because
// notifications on a connection are handled in order: a slow one must not delay a vote.
type link struct {
	client   *rpc.Client
	messages *rpc.Client
	queue    chan raft.Message
}

// NewLinks returns Links without open connections.
func NewLinks(meter *rpc.Meter, cut *fault.Cut) *Links {
	return &Links{meter: meter, cut: cut, links: map[string]*link{}}
}

func (l *Links) get(address string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	existing := l.links[address]
	if existing == nil {
		existing = &link{
			client:   rpc.NewClient(address, rpc.NewMux(), l.meter, l.cut, callPingTimeout),
			messages: rpc.NewClient(address, rpc.NewMux(), l.meter, l.cut, messagePingTimeout),
			queue:    make(chan raft.Message, messageQueueSize),
		}
		l.links[address] = existing
		go existing.sendMessages()
	}
	return existing
}

// Client returns the client for calls to a node's address.
func (l *Links) Client(address string) *rpc.Client { return l.get(address).client }

// Send queues a consensus message. The message is dropped if the queue is full or the node is
// unreachable.
func (l *Links) Send(m raft.Message) {
	select {
	case l.get(nameOf(m.To)).queue <- m:
	default:
	}
}

func (l *link) sendMessages() {
	for m := range l.queue {
		ctx, cancel := context.WithTimeout(context.Background(), messageTimeout)
		_ = l.messages.Notify(ctx, wire.MethodStep, m)
		cancel()
	}
}
