package control

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/wire"
)

// simStep is the step of virtual time.
const simStep = 5 * time.Millisecond

// errDied is returned by a write during which the process is killed.
var errDied = errors.New("the process died")

// simDisk is an in-memory data folder. Data is durable once save has returned.
type simDisk struct {
	start raft.InitialState
	// cached is what can be read if that is more than what is durable, else nil: the write of a process
	// that was killed during its sync.
	cached *raft.InitialState
	// beforeSync and afterSync may kill the process before or after a write.
	beforeSync func() bool
	afterSync  func() bool
}

func (d *simDisk) save(state *raft.HardState, entries []raft.Entry) error {
	if d.beforeSync != nil && d.beforeSync() {
		return errDied
	}
	d.start = d.readable()
	d.cached = nil
	if state != nil {
		d.start.HardState = *state
	}
	for _, entry := range entries {
		keep := entry.Index - d.start.Snapshot.Index - 1
		d.start.Entries = append(d.start.Entries[:keep:keep], entry)
	}
	if d.afterSync != nil && d.afterSync() {
		return errDied
	}
	return nil
}

func (d *simDisk) saveSnapshot(snapshot raft.Snapshot, state raft.HardState, after []raft.Entry) error {
	if d.beforeSync != nil && d.beforeSync() {
		return errDied
	}
	d.cached = nil
	d.start = raft.InitialState{HardState: state, Snapshot: snapshot, Entries: append([]raft.Entry(nil), after...)}
	if d.afterSync != nil && d.afterSync() {
		return errDied
	}
	return nil
}

// readable returns what a process that is started reads.
func (d *simDisk) readable() raft.InitialState {
	if d.cached != nil {
		return *d.cached
	}
	return d.start
}

// simNode is one simulated control node. Its replica is nil while the node is stopped.
type simNode struct {
	id      raft.ID
	disk    *simDisk
	replica *Replica
	// clockRate is the speed of the node's clock relative to virtual time.
	clockRate float64
	// frozenUntil suspends the process until then; messages to it are kept.
	frozenUntil time.Time
	// oldDisk is an earlier state of the disk.
	oldDisk raft.InitialState
	// writeDuration returns how long the next write takes; nil means no time. pendingWrite is the
	// write in progress, which finishes at writeEnds.
	writeDuration func() time.Duration
	pendingWrite  *write
	writeEnds     time.Time
}

// delivery is a message in transit.
type delivery struct {
	at      time.Time
	seq     int
	message raft.Message
}

// effect is the effect of a fault on one message.
type effect struct {
	drop   bool
	copies int
	delay  time.Duration
}

// sim runs control nodes on virtual time with an in-memory network and in-memory disks.
type sim struct {
	t       reporter
	random  *rand.Rand
	began   time.Time
	now     time.Time
	nodes   map[string]*simNode
	queue   []delivery
	sent    int
	effects func(m raft.Message) effect
	// cut holds the directions, sender first, in which messages are lost.
	cut        map[[2]string]bool
	leaders    map[uint64]raft.ID
	entryLimit uint64
	crashes    int
	// accepted maps the ID of each accepted change to its revision.
	accepted map[string]config.Revision
	// granted maps each key to the token that was told it holds the key.
	granted map[string]string
	epochs  map[uint64]string
	// unsyncedStarts tells nodes that are started that what they read may not be durable.
	unsyncedStarts bool
	// invariants are checked in every iteration.
	invariants invariants
}

// Flush performs all writes at once and returns the messages that may be sent then.
func (r *Replica) Flush(now time.Time) ([]raft.Message, error) {
	var out []raft.Message
	for {
		messages, next, err := r.Advance(now)
		out = append(out, messages...)
		if err != nil || next == nil {
			return out, err
		}
		if err := r.disk.perform(next); err != nil {
			return nil, err
		}
		if err := r.Written(now, next); err != nil {
			return nil, err
		}
	}
}

func newSim(t reporter, seed uint64, names ...string) *sim {
	s := &sim{
		t:          t,
		random:     rand.New(rand.NewPCG(seed, 1)),
		began:      time.Unix(1_800_000_000, 0),
		nodes:      map[string]*simNode{},
		cut:        map[[2]string]bool{},
		leaders:    map[uint64]raft.ID{},
		accepted:   map[string]config.Revision{},
		granted:    map[string]string{},
		epochs:     map[uint64]string{},
		entryLimit: 40,
		invariants: newInvariants(),
	}
	s.now = s.began
	var members raft.Members
	for _, name := range names {
		members.Voters = append(members.Voters, raft.ID(name+"#0"))
	}
	for _, name := range names {
		s.nodes[name] = &simNode{id: raft.ID(name + "#0"), clockRate: 1, disk: &simDisk{start: raft.InitialState{Snapshot: raft.Snapshot{Members: members}}}}
		s.boot(name)
	}
	return s
}

// clock returns the time on a node's own clock.
func (s *sim) clock(n *simNode) time.Time {
	return s.began.Add(time.Duration(float64(s.now.Sub(s.began)) * n.clockRate))
}

// boot starts a node from its disk.
func (s *sim) boot(name string) {
	n := s.nodes[name]
	n.disk.beforeSync, n.disk.afterSync = nil, nil
	start := n.disk.readable()
	start.Entries = append([]raft.Entry(nil), start.Entries...)
	start.Unsynced = s.unsyncedStarts
	disk := Disk{Save: n.disk.save, SaveSnapshot: n.disk.saveSnapshot}
	replica, err := NewReplica(n.id, start, disk, raft.DefaultOptions(), rand.New(rand.NewPCG(s.random.Uint64(), 2)), nil, s.clock(n))
	if err != nil {
		s.t.Fatalf("booting %s: %v", name, err)
	}
	replica.entryLimit = s.entryLimit
	n.replica = replica
	n.pendingWrite = nil
}

// clearDiskFaults removes the disk faults that have not been triggered yet.
func (s *sim) clearDiskFaults() {
	for _, n := range s.nodes {
		n.disk.beforeSync, n.disk.afterSync = nil, nil
	}
}

// kill stops a process. A write in progress may or may not have reached the disk.
func (s *sim) kill(name string) {
	n := s.nodes[name]
	if n.replica == nil {
		return
	}
	if n.pendingWrite != nil && s.random.IntN(2) == 0 {
		_ = n.replica.disk.perform(n.pendingWrite)
	}
	n.disk.cached = nil
	n.pendingWrite = nil
	n.replica = nil
	s.crashes++
}

// killProcess stops a process whose host keeps its power: the write in progress can be read afterwards, and
// is durable only with the next write.
func (s *sim) killProcess(name string) {
	n := s.nodes[name]
	if n.replica == nil {
		return
	}
	if n.pendingWrite != nil {
		left := simDisk{start: n.disk.readable()}
		disk := Disk{Save: left.save, SaveSnapshot: left.saveSnapshot}
		_ = disk.perform(n.pendingWrite)
		n.disk.cached = &left.start
	}
	n.pendingWrite = nil
	n.replica = nil
	s.crashes++
}

// wipe gives a stopped node an empty folder with a new identity.
func (s *sim) wipe(name string) {
	n := s.nodes[name]
	s.sent++
	n.id = raft.ID(fmt.Sprintf("%s#%d", name, s.sent))
	n.disk = &simDisk{}
}

// bootOldDisk starts a stopped node with an earlier state of its disk. Like CheckDisk, it first
// asks the leader what the node has acknowledged; if the disk holds less, it empties the folder as
// an operator would.
func (s *sim) bootOldDisk(name string) {
	n := s.nodes[name]
	if !s.until(20*time.Second, func() bool { return s.leader() != nil }) {
		s.t.Fatal("no leader")
	}
	n.disk.start = n.oldDisk
	if s.leader().replica.core.Match(n.id) > n.oldDisk.LastIndex() {
		s.wipe(name)
	}
	s.boot(name)
}

// isolate drops everything a node sends and, if bothWays is set, everything sent to it.
func (s *sim) isolate(name string, bothWays bool) {
	for other := range s.nodes {
		if other != name {
			s.cut[[2]string{name, other}] = true
			s.cut[[2]string{other, name}] = bothWays
		}
	}
}

func (s *sim) heal() { s.cut = map[[2]string]bool{} }

func (s *sim) names() []string {
	var names []string
	for name := range s.nodes {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// run advances virtual time.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simStep)
		s.deliver()
		for _, name := range s.names() {
			s.iterate(name)
		}
	}
}

// until advances virtual time until a condition holds or the limit is reached. It reports whether
// the condition holds.
func (s *sim) until(limit time.Duration, condition func() bool) bool {
	for end := s.now.Add(limit); s.now.Before(end); {
		if condition() {
			return true
		}
		s.run(simStep)
	}
	return condition()
}

func (s *sim) deliver() {
	var later []delivery
	due := s.queue
	s.queue = nil
	sort.Slice(due, func(i, j int) bool {
		if !due[i].at.Equal(due[j].at) {
			return due[i].at.Before(due[j].at)
		}
		return due[i].seq < due[j].seq
	})
	for _, d := range due {
		n := s.nodes[nameOf(d.message.To)]
		if d.at.After(s.now) || (n != nil && s.now.Before(n.frozenUntil)) {
			later = append(later, d)
			continue
		}
		if n != nil && n.replica != nil && n.id == d.message.To {
			n.replica.core.Step(s.clock(n), d.message)
		}
	}
	s.queue = append(later, s.queue...)
}

func (s *sim) iterate(name string) {
	n := s.nodes[name]
	if n.replica == nil || s.now.Before(n.frozenUntil) {
		return
	}
	now := s.clock(n)
	if err := s.endWrite(n, now); err != nil {
		s.kill(name)
		return
	}
	n.replica.core.Tick(now)
	messages, err := s.advance(n, now)
	if err != nil {
		// Messages that have not been sent are lost with the process.
		s.kill(name)
		return
	}
	if core := n.replica.core; core.Role() == raft.Leader {
		if known, found := s.leaders[core.Term()]; found && known != core.ID() {
			s.t.Fatalf("term %d has two leaders, %s and %s", core.Term(), known, core.ID())
		}
		s.leaders[core.Term()] = core.ID()
	}
	s.invariants.checkNode(s, n)
	for _, m := range messages {
		s.invariants.sent(s, n, m)
		s.sendMessage(m)
	}
}

// endWrite finishes the write in progress if it is due.
func (s *sim) endWrite(n *simNode, now time.Time) error {
	if n.pendingWrite == nil || s.now.Before(n.writeEnds) {
		return nil
	}
	done := n.pendingWrite
	n.pendingWrite = nil
	if err := n.replica.disk.perform(done); err != nil {
		return err
	}
	return n.replica.Written(now, done)
}

// advance lets a node do its pending work. Writes that take no time finish at once.
func (s *sim) advance(n *simNode, now time.Time) ([]raft.Message, error) {
	var out []raft.Message
	for {
		messages, next, err := n.replica.Advance(now)
		out = append(out, messages...)
		if err != nil || next == nil {
			return out, err
		}
		n.pendingWrite, n.writeEnds = next, s.now
		if n.writeDuration != nil {
			n.writeEnds = s.now.Add(n.writeDuration())
		}
		if s.now.Before(n.writeEnds) {
			return out, nil
		}
		if err := s.endWrite(n, now); err != nil {
			return nil, err
		}
	}
}

// sendMessage puts a message on the network, subject to the injected faults.
func (s *sim) sendMessage(m raft.Message) {
	if s.cut[[2]string{nameOf(m.From), nameOf(m.To)}] {
		return
	}
	e := effect{copies: 1}
	if s.effects != nil {
		e = s.effects(m)
	}
	if e.drop {
		return
	}
	for i := 0; i < max(e.copies, 1); i++ {
		s.sent++
		latency := time.Millisecond + time.Duration(s.random.Int64N(int64(2*time.Millisecond))) + e.delay*time.Duration(i+1)
		s.queue = append(s.queue, delivery{at: s.now.Add(latency), seq: s.sent, message: m})
	}
}

// leader returns the leader with the highest term, nil if there is none.
func (s *sim) leader() *simNode {
	var best *simNode
	for _, name := range s.names() {
		n := s.nodes[name]
		if n.replica == nil || n.replica.core.Role() != raft.Leader {
			continue
		}
		if best == nil || n.replica.core.Term() > best.replica.core.Term() {
			best = n
		}
	}
	return best
}

// submit proposes a command at the leader and passes its result to done.
func (s *sim) submit(cmd func(r *Replica) command, done func(result)) {
	n := s.leader()
	if n == nil {
		return
	}
	data, err := cmd(n.replica).encode()
	if err != nil {
		s.t.Fatal(err)
	}
	n.replica.Propose(s.clock(n), data, func(r result, err error) {
		if err == nil {
			done(r)
		}
	})
}

// change requests a change of one label. The same ID may be requested repeatedly.
func (s *sim) change(id, name string) {
	s.submit(func(r *Replica) command {
		object := config.Object{Key: config.Key{Kind: config.KindLabel, Name: name}, Label: &config.Label{PointsTo: id}}
		change := config.Change{ID: id, Base: r.state.Set().Revision(), By: id, Put: []config.Object{object}}
		return command{At: s.now, Change: &changeCommand{Change: change, Checked: r.state.Set().Revision()}}
	}, func(r result) {
		if r.outcome != wire.Accepted {
			return
		}
		if known, again := s.accepted[id]; again && known != r.revision {
			s.t.Fatalf("change %s was accepted at %v and at %v", id, known, r.revision)
		}
		s.accepted[id] = r.revision
	})
}

// claim requests a key. No two tokens may be told that they hold the same key.
func (s *sim) claim(key, token string) {
	s.submit(func(*Replica) command {
		return command{At: s.now, Claim: &claimCommand{Key: key, Token: token, Holder: "e"}}
	}, func(r result) {
		if r.claim != wire.ClaimAcquired {
			return
		}
		if known, again := s.granted[key]; again && known != token {
			s.t.Fatalf("key %s was granted to %s and to %s", key, known, token)
		}
		s.granted[key] = token
	})
}

// grant requests a zone's authority for a holder, as Service does.
func (s *sim) grant(holder string) {
	n := s.leader()
	if n == nil {
		return
	}
	cmd, _ := n.replica.prepareGrant(s.clock(n), wire.GrantRequest{Zone: "z", Holder: holder})
	if cmd == nil {
		return
	}
	s.submit(func(*Replica) command { return command{At: s.now, Grant: cmd} }, func(r result) {
		if r.outcome != wire.Accepted {
			return
		}
		if known, again := s.epochs[r.epoch]; again && known != holder {
			s.t.Fatalf("epoch %d was granted to %s and to %s", r.epoch, known, holder)
		}
		s.epochs[r.epoch] = holder
	})
}

// maintainMembership does what Service.MaintainMembership does: it proposes the leader's next
// membership change and the join requests of nodes that are not members.
func (s *sim) maintainMembership() {
	lead := s.leader()
	if lead == nil {
		return
	}
	core := lead.replica.core
	if next := nextMembers(core); next != nil {
		_, _, _ = core.ProposeMembers(s.clock(lead), *next)
	}
	for _, name := range s.names() {
		n := s.nodes[name]
		members := core.Members()
		if n.replica != nil && !members.IsVoter(n.id) && !members.IsLearner(n.id) {
			_, _, _ = core.ProposeMembers(s.clock(lead), membersAfter(members, wire.MembersRequest{AddLearner: n.id}))
		}
	}
}

// checkFinalState compares all control nodes after they have recovered: no accepted change or claim
// may be lost on any node, and all states must be equal.
func (s *sim) checkFinalState() {
	s.t.Helper()
	var reference []byte
	for _, name := range s.names() {
		n := s.nodes[name]
		data, err := n.replica.state.Save()
		if err != nil {
			s.t.Fatal(err)
		}
		if reference == nil {
			reference = data
		}
		if string(data) != string(reference) {
			s.t.Fatalf("the state of %s differs", name)
		}
		for id, revision := range s.accepted {
			if known, found := n.replica.state.AcceptedRevision(id); !found || known != revision {
				s.t.Fatalf("%s has lost change %s, accepted at %v", name, id, revision)
			}
		}
		for key, token := range s.granted {
			if known, found := n.replica.state.claims.Keys[digestOf(key)]; !found || known.Token != digestOf(token) {
				s.t.Fatalf("%s has lost the claim of %s", name, key)
			}
		}
	}
}

// converged reports whether all control nodes run, vote and have applied the same entries.
func (s *sim) converged() bool {
	lead := s.leader()
	if lead == nil || lead.replica.core.Commit() != lead.replica.core.LastIndex() {
		return false
	}
	for _, n := range s.nodes {
		if n.replica == nil || n.replica.applied != lead.replica.applied || !lead.replica.core.Members().IsVoter(n.id) {
			return false
		}
	}
	return len(lead.replica.core.Members().Voters) == len(s.nodes)
}

// lossy randomly drops, delays and duplicates messages.
func lossy(s *sim) func(raft.Message) effect {
	return func(raft.Message) effect {
		return effect{
			drop:   s.random.IntN(5) == 0,
			copies: 1 + s.random.IntN(2),
			delay:  time.Duration(s.random.IntN(120)) * time.Millisecond,
		}
	}
}

// reporter is the common part of testing.TB and rapid.T.
type reporter interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// describe formats the state of every control node for failure messages.
func (s *sim) describe() string {
	text := ""
	for _, name := range s.names() {
		n := s.nodes[name]
		if n.replica == nil {
			text += "\n" + string(n.id) + " is down"
			continue
		}
		core := n.replica.core
		text += fmt.Sprintf("\n%s: %s of term %d, leader %q, commit %d, last %d, applied %d, %s", n.id, core.Role(), core.Term(), core.Leader(), core.Commit(), core.LastIndex(), n.replica.applied, membersText(core.Members()))
	}
	return text
}
