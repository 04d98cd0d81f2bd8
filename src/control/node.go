package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/wire"
)

// Limits and intervals of the event loop.
const (
	queueSize = 4096
	maxBatch  = 1024
	// tickInterval is how often the consensus core's clock is advanced.
	tickInterval = 20 * time.Millisecond
	// proposeTimeout is how long a caller without a deadline waits for a quorum before the outcome
	// of its proposal is reported as unknown.
	proposeTimeout = 3 * time.Second
)

// Node runs a replica in a single event loop goroutine and gives other goroutines safe access to
// it.
type Node struct {
	replica *Replica
	send    func(raft.Message)
	ring    *event.Ring
	now     func() time.Time

	inbox  chan queued[raft.Message]
	calls  chan queued[func(now time.Time)]
	writer *writer
	// ended is closed when Run returns.
	ended  chan struct{}
	delays delayMeter
	// slowestWrite is the longest write since writes became slow, 0 while they are not slow.
	slowestWrite time.Duration
	// view is published before the messages of the same loop iteration are sent: no reader may see
	// this node hold a read lease after it has let another node lead.
	view atomic.Pointer[view]

	mu      sync.Mutex
	changed chan struct{}
	// The revisions of the configuration, the document and the drained zones when subscribers were
	// last notified.
	announcedIndex   uint64
	announcedVersion uint64
	announcedDrains  uint64
}

// queued is an item for the event loop with its arrival time.
type queued[T any] struct {
	at   time.Time
	item T
}

// NewNode returns a node that runs a replica; send must not block.
func NewNode(replica *Replica, send func(raft.Message), ring *event.Ring, now func() time.Time) *Node {
	n := &Node{
		replica: replica,
		send:    send,
		ring:    ring,
		now:     now,
		inbox:   make(chan queued[raft.Message], queueSize),
		calls:   make(chan queued[func(time.Time)], queueSize),
		writer:  newWriter(replica.disk, now),
		ended:   make(chan struct{}),
		changed: make(chan struct{}),
	}
	n.publish()
	replica.publish = n.publish
	return n
}

// publish makes the replica's current state the node's view.
func (n *Node) publish() { n.view.Store(viewOf(n.replica, n.now())) }

// currentView returns the view published by the last loop iteration.
func (n *Node) currentView() *view { return n.view.Load() }

// Run runs the event loop until the context ends or the disk fails. It returns after the write in
// progress, if any, has finished.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.ended)
	go n.writer.run()
	defer n.writer.stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var wait time.Duration
		var finished *finishedWrite
		select {
		case <-ctx.Done():
			return nil
		case m := <-n.inbox:
			wait = n.step(m)
		case call := <-n.calls:
			wait = n.runCall(call)
		case w := <-n.writer.ended:
			finished = &w
		case <-ticker.C:
		}
		began := n.now()
		wait = max(wait, n.drainQueues())
		if err := n.iterate(finished); err != nil {
			n.ring.Add(event.Event{Kind: event.StorageFailed, Reason: err.Error()})
			return err
		}
		n.recordDelays(Delays{Wait: wait, Iteration: n.now().Sub(began)})
	}
}

// iterate handles a finished write, if any, advances the core's clock and does all pending work.
func (n *Node) iterate(finished *finishedWrite) error {
	now := n.now()
	if finished != nil {
		if err := n.finishedWrite(now, *finished); err != nil {
			return err
		}
	}
	n.logSlowWrite(now)
	n.replica.core.Tick(now)
	return n.advance(now)
}

// finishedWrite handles the end of a write.
func (n *Node) finishedWrite(now time.Time, finished finishedWrite) error {
	if finished.err != nil {
		return finished.err
	}
	n.recordWrite(now, finished.took)
	return n.replica.Written(now, finished.write)
}

// step handles a consensus message and returns how long it was queued.
func (n *Node) step(m queued[raft.Message]) time.Duration {
	now := n.now()
	n.replica.core.Step(now, m.item)
	return now.Sub(m.at)
}

// runCall runs a queued call and returns how long it was queued.
func (n *Node) runCall(call queued[func(time.Time)]) time.Duration {
	now := n.now()
	call.item(now)
	return now.Sub(call.at)
}

// drainQueues handles everything else that is queued, so that one sync covers all of it, and
// returns the longest time an item was queued.
func (n *Node) drainQueues() time.Duration {
	var longest time.Duration
	for i := 0; i < maxBatch; i++ {
		select {
		case m := <-n.inbox:
			longest = max(longest, n.step(m))
		case call := <-n.calls:
			longest = max(longest, n.runCall(call))
		default:
			return longest
		}
	}
	return longest
}

// recordDelays records the delays of a loop iteration and logs long ones.
func (n *Node) recordDelays(d Delays) {
	n.delays.record(n.now(), d)
	if d.Wait < slowLoopThreshold && d.Iteration < slowLoopThreshold {
		return
	}
	n.ring.Add(event.Event{Kind: event.AgreementDelayed, Reason: "waited " + d.Wait.String() + ", took " + d.Iteration.String()})
}

// Delays returns the longest recent delays of the event loop and the disk.
func (n *Node) Delays() Delays {
	now := n.now()
	longest := n.delays.longest(now)
	if began := n.currentView().writeBegan; !began.IsZero() {
		longest.Write = max(longest.Write, now.Sub(began))
	}
	return longest
}

// logSlowWrite logs that a write is slow, once until writes are fast again.
func (n *Node) logSlowWrite(now time.Time) {
	age := n.replica.core.WriteAge(now)
	if age < slowWriteThreshold {
		return
	}
	if n.slowestWrite == 0 {
		n.ring.Add(event.Event{Kind: event.DiskSlow, Reason: "a write has been under way for " + age.String()})
	}
	n.slowestWrite = max(n.slowestWrite, age)
}

// recordWrite records how long a write took and logs the first fast one after slow ones.
func (n *Node) recordWrite(now time.Time, took time.Duration) {
	n.delays.record(now, Delays{Write: took})
	if n.slowestWrite > 0 && took < slowWriteThreshold {
		n.ring.Add(event.Event{Kind: event.DiskRecovered, Reason: "a write took " + took.String() + ", the longest before " + n.slowestWrite.String()})
		n.slowestWrite = 0
	}
}

// advance starts the next write, sends the messages that are ready and notifies subscribers.
func (n *Node) advance(now time.Time) error {
	messages, next, err := n.replica.Advance(now)
	if err != nil {
		return err
	}
	if next != nil {
		n.writer.pending <- next
	}
	n.publish()
	for _, m := range messages {
		n.send(m)
	}
	n.notifySubscribers()
	return nil
}

// notifySubscribers wakes subscribers if the configuration or the drained zones have changed.
func (n *Node) notifySubscribers() {
	index := n.replica.state.Set().Revision().Index
	version := n.replica.state.document.Version
	drains := n.replica.state.drains.Revision
	if index == n.announcedIndex && version == n.announcedVersion && drains == n.announcedDrains {
		return
	}
	n.announcedIndex = index
	n.announcedVersion = version
	n.announcedDrains = drains
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the configuration or the drained zones next change.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Deliver queues a message from another control node. The message is dropped if the queue is full.
func (n *Node) Deliver(m raft.Message) {
	select {
	case n.inbox <- queued[raft.Message]{at: n.now(), item: m}:
	default:
	}
}

// Do runs f in the event loop and waits for it. It returns false if the node has stopped.
func (n *Node) Do(f func(now time.Time)) bool {
	done := make(chan struct{})
	run := func(now time.Time) {
		f(now)
		close(done)
	}
	select {
	case n.calls <- queued[func(time.Time)]{at: n.now(), item: run}:
	case <-n.ended:
		return false
	}
	select {
	case <-done:
		return true
	case <-n.ended:
		return false
	}
}

// outcome carries the result of a proposal to its caller.
type outcome struct {
	result result
	err    error
}

// propose proposes a command and waits for its result. If the wait ends first, the outcome is
// unknown.
func (n *Node) propose(ctx context.Context, cmd command) (result, error) {
	return n.proposeOnce(ctx, cmd, proposalKey{})
}

// proposeOnce proposes a command that callers may resend; copies are recognized by their key.
func (n *Node) proposeOnce(ctx context.Context, cmd command, key proposalKey) (result, error) {
	data, err := cmd.encode()
	if err != nil {
		return result{}, err
	}
	return n.await(ctx, func(now time.Time, done func(result, error)) {
		n.replica.proposeOnce(now, key, data, done)
	})
}

// proposeSettled proposes a command and returns its result once it is settled, that is once a
// majority has durably stored not only the entry but also a commit index that covers it. A commit
// index is stored with the next entry, so each accepted command is followed by an empty one.
// Without it, all control nodes that restart after a power loss would apply the state before the
// command until a leader is elected, which may take arbitrarily long.
func (n *Node) proposeSettled(ctx context.Context, cmd command, key proposalKey) (result, error) {
	applied, err := n.proposeOnce(ctx, cmd, key)
	if err != nil || applied.outcome != wire.Accepted {
		return applied, err
	}
	return n.settle(ctx, applied, func(settled uint64) bool { return applied.index <= settled }), nil
}

// settle returns the result of an applied command once it is settled. It returns at once if
// isSettled reports that the entries settled so far include it, and otherwise waits for an entry
// that settles it. If that can't be confirmed, the outcome is unknown.
func (n *Node) settle(ctx context.Context, applied result, isSettled func(settled uint64) bool) result {
	settling, err := n.await(ctx, func(now time.Time, done func(result, error)) {
		if settled := n.replica.core.Settled(); settled > 0 && isSettled(settled) {
			done(result{outcome: wire.Accepted}, nil)
			return
		}
		index := applied.index
		if index == 0 {
			index = n.replica.applied
		}
		n.replica.proposeSettling(now, index, done)
	})
	if err != nil || settling.outcome != wire.Accepted {
		return result{outcome: wire.Unknown, reason: "applied, but a majority may not know that it is committed"}
	}
	return applied
}

// await runs start in the event loop and waits until it calls done, the context ends or the node
// stops.
func (n *Node) await(ctx context.Context, start func(now time.Time, done func(result, error))) (result, error) {
	outcomes := make(chan outcome, 1)
	run := func(now time.Time) {
		start(now, func(r result, err error) { outcomes <- outcome{r, err} })
	}
	select {
	case n.calls <- queued[func(time.Time)]{at: n.now(), item: run}:
	case <-n.ended:
		return result{}, raft.ErrNotLeader
	}
	var timeout <-chan time.Time
	if _, bounded := ctx.Deadline(); !bounded {
		timer := time.NewTimer(proposeTimeout)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case o := <-outcomes:
		if errors.Is(o.err, errOverwritten) {
			return result{outcome: wire.Unavailable, reason: o.err.Error()}, nil
		}
		return o.result, o.err
	case <-timeout:
	case <-ctx.Done():
	case <-n.ended:
	}
	return result{outcome: wire.Unknown, reason: "no quorum answered in time"}, nil
}
