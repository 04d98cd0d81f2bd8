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

// The loop's bounds.
const (
	inboxSize  = 4096
	batchLimit = 1024
	// tickEvery is how often the core is shown the time.
	tickEvery = 20 * time.Millisecond
	// proposeTimeout is how long a caller that names no time of its own waits for a quorum before
	// it is told unknown.
	proposeTimeout = 3 * time.Second
)

// Node runs a replica in one goroutine and gives others safe access to it.
type Node struct {
	replica *Replica
	send    func(raft.Message)
	ring    *event.Ring
	now     func() time.Time

	inbox  chan arrival[raft.Message]
	work   chan arrival[func(now time.Time)]
	writer *writer
	ended  chan struct{}
	delays delayMeter
	// slowest is the longest write since writes were logged as slow ones, 0 if they are not slow.
	slowest time.Duration
	// view is published before the messages of the same turn leave: nobody may be told that
	// this node is sure of something after it has let another one lead.
	view atomic.Pointer[view]

	mu      sync.Mutex
	changed chan struct{}
	seen    uint64
	// seenVersion and seenDrains are the revisions of the document and of the drained zones when
	// subscribers were last woken.
	seenVersion uint64
	seenDrains  uint64
}

// arrival is something for the loop with when it came.
type arrival[T any] struct {
	at   time.Time
	item T
}

// NewNode returns a node around a replica; send must not block.
func NewNode(replica *Replica, send func(raft.Message), ring *event.Ring, now func() time.Time) *Node {
	n := &Node{
		replica: replica,
		send:    send,
		ring:    ring,
		now:     now,
		inbox:   make(chan arrival[raft.Message], inboxSize),
		work:    make(chan arrival[func(time.Time)], inboxSize),
		writer:  newWriter(replica.disk, now),
		ended:   make(chan struct{}),
		changed: make(chan struct{}),
	}
	n.publish()
	replica.publish = n.publish
	return n
}

// publish makes what the replica knows now the node's view.
func (n *Node) publish() { n.view.Store(viewOf(n.replica, n.now())) }

// known returns what the node knew after its last turn.
func (n *Node) known() *view { return n.view.Load() }

// Run drives the replica until the context ends or its disk fails. It returns once no write is
// under way any more.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.ended)
	go n.writer.run()
	defer n.writer.stop()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		var wait time.Duration
		var done *written
		select {
		case <-ctx.Done():
			return nil
		case m := <-n.inbox:
			wait = n.step(m)
		case question := <-n.work:
			wait = n.answer(question)
		case w := <-n.writer.ended:
			done = &w
		case <-ticker.C:
		}
		began := n.now()
		wait = max(wait, n.drain())
		if err := n.turn(done); err != nil {
			n.ring.Add(event.Event{Kind: event.StorageFailed, Reason: err.Error()})
			return err
		}
		n.noteDelays(Delays{Wait: wait, Step: n.now().Sub(began)})
	}
}

// turn takes in the end of a write, lets time pass and does what is to be done.
func (n *Node) turn(done *written) error {
	now := n.now()
	if done != nil {
		if err := n.written(now, *done); err != nil {
			return err
		}
	}
	n.noteSlowWrite(now)
	n.replica.core.Tick(now)
	return n.advance(now)
}

// written takes in the end of a write.
func (n *Node) written(now time.Time, done written) error {
	if done.err != nil {
		return done.err
	}
	n.noteWrite(now, done.took)
	return n.replica.Written(now, done.write)
}

// step takes in a message and returns how long it waited.
func (n *Node) step(m arrival[raft.Message]) time.Duration {
	now := n.now()
	n.replica.core.Step(now, m.item)
	return now.Sub(m.at)
}

// answer runs a question and returns how long it waited.
func (n *Node) answer(question arrival[func(time.Time)]) time.Duration {
	now := n.now()
	question.item(now)
	return now.Sub(question.at)
}

// drain takes what else is waiting, so that one sync covers all of it, and returns the
// longest wait.
func (n *Node) drain() time.Duration {
	var longest time.Duration
	for i := 0; i < batchLimit; i++ {
		select {
		case m := <-n.inbox:
			longest = max(longest, n.step(m))
		case question := <-n.work:
			longest = max(longest, n.answer(question))
		default:
			return longest
		}
	}
	return longest
}

// noteDelays keeps the longest delays, and logs long ones.
func (n *Node) noteDelays(d Delays) {
	n.delays.note(n.now(), d)
	if d.Wait < slowLoop && d.Step < slowLoop {
		return
	}
	n.ring.Add(event.Event{Kind: event.AgreementDelayed, Reason: "waited " + d.Wait.String() + ", took " + d.Step.String()})
}

// Delays returns the longest delays of the loop and of the disk lately.
func (n *Node) Delays() Delays {
	now := n.now()
	longest := n.delays.longest(now)
	if began := n.known().writeBegan; !began.IsZero() {
		longest.Write = max(longest.Write, now.Sub(began))
	}
	return longest
}

// noteSlowWrite logs that writes take long, once until they are fast again.
func (n *Node) noteSlowWrite(now time.Time) {
	age := n.replica.core.WriteAge(now)
	if age < slowWrite {
		return
	}
	if n.slowest == 0 {
		n.ring.Add(event.Event{Kind: event.DiskSlow, Reason: "a write has been under way for " + age.String()})
	}
	n.slowest = max(n.slowest, age)
}

// noteWrite takes in how long a write took; the first one that is no longer slow is logged.
func (n *Node) noteWrite(now time.Time, took time.Duration) {
	n.delays.note(now, Delays{Write: took})
	if n.slowest > 0 && took < slowWrite {
		n.ring.Add(event.Event{Kind: event.DiskRecovered, Reason: "a write took " + took.String() + ", the longest before " + n.slowest.String()})
		n.slowest = 0
	}
}

// advance begins the next write, sends what may be sent and tells what was applied.
func (n *Node) advance(now time.Time) error {
	messages, next, err := n.replica.Advance(now)
	if err != nil {
		return err
	}
	if next != nil {
		n.writer.begun <- next
	}
	n.publish()
	for _, m := range messages {
		n.send(m)
	}
	n.announce()
	return nil
}

// announce wakes subscribers when the configuration has moved.
func (n *Node) announce() {
	index := n.replica.state.Set().Revision().Index
	version := n.replica.state.document.Version
	drains := n.replica.state.drains.Revision
	if index == n.seen && version == n.seenVersion && drains == n.seenDrains {
		return
	}
	n.seen = index
	n.seenVersion = version
	n.seenDrains = drains
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Changed returns a channel that is closed when the configuration next moves.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Deliver takes in a message from another control node; when it is flooded the message is lost.
func (n *Node) Deliver(m raft.Message) {
	select {
	case n.inbox <- arrival[raft.Message]{at: n.now(), item: m}:
	default:
	}
}

// Do runs f in the node's goroutine and waits for it; it returns false if the node has ended.
func (n *Node) Do(f func(now time.Time)) bool {
	done := make(chan struct{})
	run := func(now time.Time) {
		f(now)
		close(done)
	}
	select {
	case n.work <- arrival[func(time.Time)]{at: n.now(), item: run}:
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

// outcome is a result on its way to the caller.
type outcome struct {
	result result
	err    error
}

// propose hands a command to consensus and waits for its result. The outcome
// is unknown when the wait ends before that.
func (n *Node) propose(ctx context.Context, cmd command) (result, error) {
	return n.proposeOnce(ctx, cmd, proposalKey{})
}

// proposeOnce is propose for a command of which copies may come, told by their key.
func (n *Node) proposeOnce(ctx context.Context, cmd command, key proposalKey) (result, error) {
	data, err := cmd.encode()
	if err != nil {
		return result{}, err
	}
	return n.await(ctx, func(now time.Time, done func(result, error)) {
		n.replica.proposeOnce(now, key, data, done)
	})
}

// proposeSettled hands a command to consensus and returns its result once it is settled: a
// majority's disks hold not only the entry but also that it is committed. A disk learns that
// with the next entry, so an empty one follows each accepted command. Without it all control
// nodes that come back after a loss of power apply the state before the command until a
// leader is elected, and nothing bounds how long that takes.
func (n *Node) proposeSettled(ctx context.Context, cmd command, key proposalKey) (result, error) {
	applied, err := n.proposeOnce(ctx, cmd, key)
	if err != nil || applied.outcome != wire.Accepted {
		return applied, err
	}
	return n.settle(ctx, applied, func(settled uint64) bool { return applied.index <= settled }), nil
}

// settle returns the result of a command once it is settled: at once if covered says so of all that
// is settled already, else by an entry that settles it. The outcome is unknown if that is not certain.
func (n *Node) settle(ctx context.Context, applied result, covered func(settled uint64) bool) result {
	followed, err := n.await(ctx, func(now time.Time, done func(result, error)) {
		if settled := n.replica.core.Settled(); settled > 0 && covered(settled) {
			done(result{outcome: wire.Accepted}, nil)
			return
		}
		index := applied.index
		if index == 0 {
			index = n.replica.applied
		}
		n.replica.proposeSettling(now, index, done)
	})
	if err != nil || followed.outcome != wire.Accepted {
		return result{outcome: wire.Unknown, reason: "applied, but a majority may not know that it is committed"}
	}
	return applied
}

func (n *Node) await(ctx context.Context, start func(now time.Time, done func(result, error))) (result, error) {
	outcomes := make(chan outcome, 1)
	run := func(now time.Time) {
		start(now, func(r result, err error) { outcomes <- outcome{r, err} })
	}
	select {
	case n.work <- arrival[func(time.Time)]{at: n.now(), item: run}:
	case <-n.ended:
		return result{}, raft.ErrNotLeader
	}
	var late <-chan time.Time
	if _, bounded := ctx.Deadline(); !bounded {
		timer := time.NewTimer(proposeTimeout)
		defer timer.Stop()
		late = timer.C
	}
	select {
	case o := <-outcomes:
		if errors.Is(o.err, errOvertaken) {
			return result{outcome: wire.Unavailable, reason: o.err.Error()}, nil
		}
		return o.result, o.err
	case <-late:
	case <-ctx.Done():
	case <-n.ended:
	}
	return result{outcome: wire.Unknown, reason: "no quorum answered in time"}, nil
}
