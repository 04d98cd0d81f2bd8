package main

import (
	"context"
	"sync"
	"time"
)

const (
	// leaveTime is how long before the end of a run the replica leaves that has a copy of it.
	leaveTime = 100 * time.Millisecond
	// maxLeavingHolders is how many replicas at most leave at a time.
	maxLeavingHolders = 3
)

// leavingHolders lets replicas leave that have the copy of a run which is about to end, and starts others in their places.
// It is safe for concurrent use.
type leavingHolders struct {
	replicas *replicas
	copies   *runCopies
	work     sync.WaitGroup

	mu sync.Mutex
	// ended is set once no more replicas shall leave.
	ended   bool
	leaving map[*replica]bool
	left    int
}

func newLeavingHolders(r *replicas, copies *runCopies) *leavingHolders {
	return &leavingHolders{replicas: r, copies: copies, leaving: map[*replica]bool{}}
}

// leaveBefore lets the replica leave that has a copy of a run shortly before the run ends, which it does after a time.
func (l *leavingHolders) leaveBefore(ctx context.Context, run *streamRun, end time.Duration) {
	timer := time.NewTimer(end - leaveTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	holder := l.replicas.replicaListening(l.copies.holder(run))
	if holder == nil || !l.begin(holder) {
		return
	}
	go func() {
		defer l.end(holder)
		l.copies.recordLeaving(holder.address)
		l.replicas.drainAndRemove(holder)
		l.replicas.replace(holder)
	}()
}

// begin reports whether a replica may begin to leave.
func (l *leavingHolders) begin(holder *replica) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended || l.leaving[holder] || len(l.leaving) >= maxLeavingHolders {
		return false
	}
	l.leaving[holder] = true
	l.left++
	l.work.Add(1)
	return true
}

func (l *leavingHolders) end(holder *replica) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.leaving, holder)
	l.work.Done()
}

// close waits until all that leave have left and returns how many have.
func (l *leavingHolders) close() int {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.work.Wait()
	return l.left
}

// replicaListening returns the replica at an address, nil if there is none.
func (r *replicas) replicaListening(address string) *replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rep := range r.list {
		if rep.address == address {
			return rep
		}
	}
	return nil
}

// holder returns the address of a replica that was given a copy of a run, "" if there is none.
func (c *runCopies) holder(run *streamRun) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kept := range c.copies {
		if kept.run == run && !kept.backup && kept.target != run.address {
			return kept.target
		}
	}
	return ""
}

// recordLeaving records that the replica at an address leaves, which has copies of runs.
func (c *runCopies) recordLeaving(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kept := range c.copies {
		if kept.target == address && !kept.backup {
			kept.run.holderLeft = true
		}
	}
}
