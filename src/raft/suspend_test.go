package raft

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// suspendTick is one step of the simulated time. suspendDelay is the number of steps a message takes.
	suspendTick  = 10 * time.Millisecond
	suspendDelay = 2
	// suspendSteps is the length of a simulation: a first election, a lease, and a second election after
	// the leader is partitioned or transfers leadership at suspendElectionAt.
	suspendSteps      = 260
	suspendElectionAt = 110
)

// suspendSimulation runs three cores on simulated time. One is suspended for a while: it does nothing,
// and its messages are queued until it resumes.
type suspendSimulation struct {
	step  int
	cores []*Core
	// clockLag is how far each core's clock is behind. It stays 0 with clocks that count suspensions.
	clockLag    []time.Duration
	suspended   []bool
	queue       []Message
	dueSteps    []int
	undelivered [][]Message
	partitioned int
	// leasedSteps is the number of steps in which any core had a lease.
	leasedSteps int
}

func newSuspendSimulation() *suspendSimulation {
	w := &suspendSimulation{clockLag: make([]time.Duration, 3), suspended: make([]bool, 3), undelivered: make([][]Message, 3), partitioned: -1}
	members := Members{Voters: []ID{"0", "1", "2"}}
	for i := range 3 {
		start := InitialState{Snapshot: Snapshot{Members: members}}
		w.cores = append(w.cores, New(members.Voters[i], start, DefaultOptions(), rand.New(rand.NewPCG(uint64(i), 5)), startTime))
	}
	return w
}

func (w *suspendSimulation) now(i int) time.Time {
	return startTime.Add(time.Duration(w.step)*suspendTick - w.clockLag[i])
}

// processReady does a core's pending work and sends its messages.
func (w *suspendSimulation) processReady(i int) {
	c := w.cores[i]
	for ready := c.Ready(w.now(i)); !ready.Empty(); ready = c.Ready(w.now(i)) {
		c.Persisted(w.now(i), ready)
		for _, m := range ready.Messages {
			if i != w.partitioned && m.To != ID(fmt.Sprint(w.partitioned)) {
				w.queue = append(w.queue, m)
				w.dueSteps = append(w.dueSteps, w.step+suspendDelay)
			}
		}
	}
}

func (w *suspendSimulation) deliver(m Message) {
	i := int(m.To[0] - '0')
	if w.suspended[i] {
		w.undelivered[i] = append(w.undelivered[i], m)
		return
	}
	w.cores[i].Step(w.now(i), m)
	w.processReady(i)
}

func (w *suspendSimulation) advance() {
	w.step++
	queue, dueSteps := w.queue, w.dueSteps
	w.queue, w.dueSteps = nil, nil
	for at, m := range queue {
		if dueSteps[at] > w.step {
			w.queue, w.dueSteps = append(w.queue, m), append(w.dueSteps, dueSteps[at])
			continue
		}
		w.deliver(m)
	}
	for i, c := range w.cores {
		if !w.suspended[i] {
			c.Tick(w.now(i))
			w.processReady(i)
		}
	}
}

// resume ends a suspension: the core handles the queued messages in order.
func (w *suspendSimulation) resume(i int) {
	w.suspended[i] = false
	for _, m := range w.undelivered[i] {
		w.cores[i].Step(w.now(i), m)
		w.processReady(i)
	}
	w.undelivered[i] = nil
}

// leases returns the number of running cores that hold a lease, each by its own clock.
func (w *suspendSimulation) leases() int {
	count := 0
	for i, c := range w.cores {
		if !w.suspended[i] && c.LeaseValid(w.now(i)) {
			count++
		}
	}
	return count
}

// simulateSuspension suspends one core at a step for a duration; a second election starts during the
// simulation. It reports whether two cores ever held a lease at the same time, and the number of steps
// with a lease.
func simulateSuspension(at, node int, duration time.Duration, partitionLeader, clockCountsSuspension bool) (doubleLease bool, leasedSteps int) {
	w := newSuspendSimulation()
	until := at + int(duration/suspendTick)
	for w.step < max(suspendSteps, until+60) {
		switch {
		case w.step == at:
			w.suspended[node] = true
		case w.step == until:
			if !clockCountsSuspension {
				w.clockLag[node] = duration
			}
			// Also check the lease before the resumed core has handled any message.
			w.suspended[node] = false
			doubleLease = doubleLease || w.leases() > 1
			w.resume(node)
			doubleLease = doubleLease || w.leases() > 1
		}
		if w.step == suspendElectionAt {
			w.startSecondElection(partitionLeader)
		}
		w.advance()
		doubleLease = doubleLease || w.leases() > 1
		if w.leases() > 0 {
			w.leasedSteps++
		}
	}
	return doubleLease, w.leasedSteps
}

// startSecondElection partitions the leader, or makes it transfer leadership.
func (w *suspendSimulation) startSecondElection(partitionLeader bool) {
	for i, c := range w.cores {
		if c.Role() != Leader || w.suspended[i] {
			continue
		}
		if partitionLeader {
			w.partitioned = i
			return
		}
		c.Transfer(w.now(i))
		w.processReady(i)
		return
	}
}

// suspendDurations are shorter than a lease, longer than an election timeout, and much longer.
var suspendDurations = []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second}

// TestSuspensionNeverCausesTwoLeases suspends each node at each step of a first election, a lease, a
// partition or leadership transfer, and the second election. Two nodes must never hold a lease at the same
// time by their own clocks, even at the moment when the suspended one resumes.
func TestSuspensionNeverCausesTwoLeases(t *testing.T) {
	for _, duration := range suspendDurations {
		for at := 1; at < suspendSteps; at++ {
			for node := range 3 {
				for _, partitionLeader := range []bool{false, true} {
					doubleLease, leasedSteps := simulateSuspension(at, node, duration, partitionLeader, true)
					if doubleLease {
						t.Fatalf("two leases at the same time: node %d suspended at %s for %s, leader partitioned %v", node, time.Duration(at)*suspendTick, duration, partitionLeader)
					}
					if leasedSteps < 50 {
						t.Fatalf("too few steps with a lease: node %d suspended at %s for %s, leader partitioned %v", node, time.Duration(at)*suspendTick, duration, partitionLeader)
					}
				}
			}
		}
	}
}

// TestSuspensionWithStoppedClockCausesTwoLeases shows that the simulation of the test above can detect
// two leases: it does so with clocks that stop during a suspension.
func TestSuspensionWithStoppedClockCausesTwoLeases(t *testing.T) {
	found := 0
	for at := 1; at < suspendSteps; at += 5 {
		for node := range 3 {
			if doubleLease, _ := simulateSuspension(at, node, 3*time.Second, false, false); doubleLease {
				found++
			}
		}
	}
	if found == 0 {
		t.Error("found no second lease with clocks that stop during a suspension")
	}
	t.Logf("a second lease in %d simulations", found)
}
