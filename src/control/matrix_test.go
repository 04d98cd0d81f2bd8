package control

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/moorspool/moorspool/src/raft"
)

// step is a step of an exchange between nodes at which a fault may be injected.
type step struct {
	name string
	// message is the kind of message that carries the step, 0 for a write.
	message raft.MessageKind
	// provoke triggers the step.
	provoke func(s *sim)
}

// faultKind is a kind of injected fault.
type faultKind struct {
	name string
	// message is the effect on the step's messages, nil for none.
	message func(s *sim, n int) effect
	// node is the fault of the process that sends the step, "" for none.
	node string
}

func electionStep(s *sim) {
	// Votes are sent only when a new leader is needed, so the current one is stopped.
	if lead := s.leader(); lead != nil {
		name := nameOf(lead.id)
		s.kill(name)
		s.run(2 * time.Second)
		s.boot(name)
	}
}

func appendStep(s *sim) { generateLoad(s, 20) }

func snapshotStep(s *sim) {
	// A follower that misses more entries than a snapshot covers is sent a snapshot.
	name := follower(s)
	s.kill(name)
	generateLoad(s, 60)
	s.boot(name)
	s.run(time.Second)
}

func memberStep(s *sim) {
	name := follower(s)
	s.kill(name)
	s.wipe(name)
	s.boot(name)
	for i := 0; i < 20; i++ {
		s.maintainMembership()
		s.run(100 * time.Millisecond)
	}
}

// steps are the exchanges among control nodes. The vote, append, snapshot and member steps belong
// to consensus; apply, claim and grant are client requests.
var steps = []step{
	{"pre-vote", raft.MsgPreVote, electionStep},
	{"vote", raft.MsgVote, electionStep},
	{"vote reply", raft.MsgVoteReply, electionStep},
	{"append", raft.MsgAppend, appendStep},
	{"append reply", raft.MsgAppendReply, appendStep},
	{"snapshot", raft.MsgSnapshot, snapshotStep},
	{"voter change", raft.MsgAppend, memberStep},
	{"apply", raft.MsgAppend, func(s *sim) { repeat(s, func(i int) { s.change(fmt.Sprint("a", i), "one") }) }},
	{"claim", raft.MsgAppend, func(s *sim) { repeat(s, func(i int) { s.claim(fmt.Sprint("c", i/2), fmt.Sprint("t", i)) }) }},
	{"grant", raft.MsgAppend, func(s *sim) { repeat(s, func(i int) { s.grant(fmt.Sprint("p", i%2)) }) }},
}

var faultKinds = []faultKind{
	{name: "none"},
	{name: "lost", message: func(*sim, int) effect { return effect{drop: true} }},
	{name: "late", message: func(*sim, int) effect { return effect{delay: 700 * time.Millisecond} }},
	{name: "doubled", message: func(*sim, int) effect { return effect{copies: 2, delay: 40 * time.Millisecond} }},
	{name: "reordered", message: func(s *sim, _ int) effect {
		return effect{delay: time.Duration(s.random.IntN(200)) * time.Millisecond}
	}},
	{name: "slow", message: func(*sim, int) effect { return effect{delay: 150 * time.Millisecond} }},
	{name: "dies before its sync", node: "before"},
	{name: "dies after its sync", node: "after"},
	{name: "dies, disk empty", node: "empty"},
	{name: "dies, disk comes back old", node: "old"},
	{name: "cut off one way", node: "one way"},
	{name: "cut off both ways", node: "both ways"},
	{name: "frozen", node: "frozen"},
	{name: "lost, and another dies", message: func(*sim, int) effect { return effect{drop: true} }, node: "other"},
	{name: "a second dies right after the first was repaired", node: "second"},
}

// freezeDuration is longer than a lease plus an election.
const freezeDuration = 1800 * time.Millisecond

// maxFaultyMessages limits the number of messages that one fault affects.
const maxFaultyMessages = 12

// generateLoad proposes changes and claims, some of them more than once.
func generateLoad(s *sim, n int) {
	for i := 0; i < n; i++ {
		s.change(fmt.Sprint("w", len(s.accepted), i%7), fmt.Sprint("l", i%5))
		s.claim(fmt.Sprint("k", s.sent%40), fmt.Sprint("t", s.sent))
		s.run(20 * time.Millisecond)
	}
}

func repeat(s *sim, do func(i int)) {
	for i := 0; i < 20; i++ {
		do(i)
		s.run(30 * time.Millisecond)
	}
}

func follower(s *sim) string {
	lead := s.leader()
	for _, name := range s.names() {
		if lead == nil || nameOf(lead.id) != name {
			return name
		}
	}
	return ""
}

// injectFault applies a fault to the step's next messages.
func injectFault(s *sim, st step, f faultKind) {
	hits := 0
	s.effects = func(m raft.Message) effect {
		if m.Kind != st.message || hits >= maxFaultyMessages {
			return effect{copies: 1}
		}
		hits++
		if hits == 1 && f.node != "" {
			injectNodeFault(s, nameOf(m.From), f.node)
		}
		if f.message != nil {
			return f.message(s, hits)
		}
		return effect{copies: 1}
	}
}

// firstCallOnly returns a function that returns true on its first call only.
func firstCallOnly() func() bool {
	done := false
	return func() bool {
		first := !done
		done = true
		return first
	}
}

func injectNodeFault(s *sim, name, how string) {
	n := s.nodes[name]
	switch how {
	case "before":
		n.disk.beforeSync = firstCallOnly()
	case "after":
		n.disk.afterSync = firstCallOnly()
	case "empty", "second":
		n.disk.beforeSync = firstCallOnly()
	case "old":
		n.oldDisk = n.disk.start
		n.oldDisk.Entries = append([]raft.Entry(nil), n.oldDisk.Entries...)
		s.run(100 * time.Millisecond)
		n.disk.afterSync = firstCallOnly()
	case "frozen":
		n.frozenUntil = s.now.Add(freezeDuration)
	case "one way":
		s.isolate(name, false)
	case "both ways":
		s.isolate(name, true)
	case "other":
		for _, other := range s.names() {
			if other != name {
				s.nodes[other].disk.afterSync = firstCallOnly()
				return
			}
		}
	}
}

// recoverFrom undoes a fault: network partitions heal and stopped nodes restart.
func recoverFrom(s *sim, f faultKind) {
	s.effects = nil
	s.heal()
	restartStopped(s, f.node)
	if f.node != "second" {
		return
	}
	// A second disk may be lost only after the first node has caught up and votes again.
	if !s.until(30*time.Second, func() bool { s.maintainMembership(); return s.converged() }) {
		s.t.Fatal("the control nodes did not converge after the first disk was lost")
	}
	second := nameOf(s.leader().id)
	s.kill(second)
	s.run(3 * time.Second)
	s.wipe(second)
	s.boot(second)
}

// restartStopped restarts all stopped nodes, with their disks as the node fault requires.
func restartStopped(s *sim, node string) {
	for _, name := range s.names() {
		if s.nodes[name].replica != nil {
			continue
		}
		switch {
		case node == "old" && s.nodes[name].oldDisk.HardState.Term > 0:
			s.bootOldDisk(name)
			continue
		case node == "empty" || node == "second":
			s.wipe(name)
		}
		s.boot(name)
	}
}

// losesMajority reports whether a cell loses two of three disks before the first is replaced. No
// quorum then remembers what was accepted, so the control nodes must stop accepting changes until
// they are restored from a backup.
func losesMajority(st step, f faultKind) bool {
	return st.name == "voter change" && (f.node == "empty" || f.node == "second" || f.node == "old")
}

// checkNothingAccepted checks that no change is accepted once a majority has lost its disks.
func checkNothingAccepted(s *sim, f faultKind) {
	s.effects = nil
	restartStopped(s, "empty")
	before := len(s.accepted)
	s.until(20*time.Second, func() bool { s.change("after", "after"); s.run(50 * time.Millisecond); return false })
	if len(s.accepted) > before {
		s.t.Fatal("a change was accepted although a majority has lost its disks")
	}
}

// runCell injects one fault at one step and checks all invariants afterwards.
func runCell(t testing.TB, seed uint64, st step, f faultKind) {
	s := newSim(t, seed, "k1", "k2", "k3")
	s.run(2 * time.Second)
	generateLoad(s, 10)
	injectFault(s, st, f)
	st.provoke(s)
	// A crash around a write needs a write to happen.
	generateLoad(s, 2)
	s.run(2 * time.Second)
	if losesMajority(st, f) {
		checkNothingAccepted(s, f)
		return
	}
	recoverFrom(s, f)
	if !s.until(60*time.Second, func() bool { s.maintainMembership(); return s.converged() }) {
		t.Fatal("the control nodes did not converge")
	}
	before := len(s.accepted)
	if !s.until(10*time.Second, func() bool { s.change("after", "after"); s.run(20 * time.Millisecond); return len(s.accepted) > before }) {
		t.Fatal("no change is accepted afterwards")
	}
	if !s.until(10*time.Second, s.converged) {
		t.Fatal("the control nodes did not converge after the last change" + s.describe())
	}
	s.checkFinalState()
}

// TestMatrix injects every fault at every step.
func TestMatrix(t *testing.T) {
	cells := 0
	for _, st := range steps {
		for _, f := range faultKinds {
			cells++
			t.Run(st.name+"/"+f.name, func(t *testing.T) { runCell(t, uint64(cells), st, f) })
		}
	}
	t.Logf("%d cells", cells)
}

const faultsPage = "../../docs/FAULTS.md"

// TestMatrixPage checks that the table in docs/FAULTS.md matches the cells that TestMatrix runs.
func TestMatrixPage(t *testing.T) {
	page, err := os.ReadFile(faultsPage)
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	b.WriteString("| step \\ fault |")
	for _, f := range faultKinds {
		b.WriteString(" " + f.name + " |")
	}
	b.WriteString("\n|" + strings.Repeat("---|", len(faultKinds)+1) + "\n")
	for _, st := range steps {
		b.WriteString("| " + st.name + " |" + strings.Repeat(" x |", len(faultKinds)) + "\n")
	}
	if !strings.Contains(string(page), b.String()) {
		t.Errorf("docs/FAULTS.md lacks this table:\n%s", b.String())
	}
}
