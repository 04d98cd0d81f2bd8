package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Spells of slow disks: how long after each other they begin, how long they last, and how long
// syncs wait meanwhile.
const (
	slowDisksEvery = 2 * time.Second
	slowDisksLast  = 2500 * time.Millisecond
	longestSync    = 1500 * time.Millisecond
	// hungSync is longer than any spell: the sync ends with it.
	hungSync = time.Minute
	// hangEvery is one in how many spells a sync hangs.
	hangEvery = 4
	// restartSync bounds the wait of each sync while all processes start after a loss of power.
	restartSync = 400 * time.Millisecond
)

// setSync makes each sync of a control node's data folder wait, by a file that builds for the soak
// read; 0 ends that.
func (m *member) setSync(wait time.Duration) {
	file := m.folder + ".slow"
	if wait == 0 {
		_ = os.Remove(file)
		return
	}
	text := fmt.Sprintln(wait.Milliseconds())
	if err := os.WriteFile(file+".new", []byte(text), 0o644); err != nil {
		fmt.Fprintln(m.log, "soak: slow disk:", err)
		return
	}
	if err := os.Rename(file+".new", file); err != nil {
		fmt.Fprintln(m.log, "soak: slow disk:", err)
	}
}

// slowDisks lets the disks of one or of all control nodes be slow or hang for a while, again and
// again, whatever else strikes meanwhile.
func (in *installation) slowDisks(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, time.Duration(random.Int64N(int64(slowDisksEvery))))
		struck := in.controlNodes()
		if random.IntN(2) == 0 {
			one := random.IntN(controls)
			struck = struck[one : one+1]
		}
		wait := time.Duration(1 + random.Int64N(int64(longestSync)))
		if random.IntN(hangEvery) == 0 {
			wait = hungSync
		}
		lasts := time.Duration(random.Int64N(int64(slowDisksLast)))
		if ctx.Err() != nil {
			return
		}
		in.slowSpell(ctx, struck, wait, lasts)
	}
}

// slowSpell makes syncs of control nodes wait for a while. No bound on time holds meanwhile.
func (in *installation) slowSpell(ctx context.Context, struck []*member, wait, lasts time.Duration) {
	in.disks.begin()
	for _, m := range struck {
		fmt.Fprintf(m.log, "soak: %s each sync waits %s for %s\n", time.Now().Format(time.RFC3339Nano), wait, lasts)
		m.setSync(wait)
	}
	pause(ctx, lasts)
	for _, m := range struck {
		m.setSync(0)
	}
	in.disks.end()
}

// pause waits, no longer than the context lasts.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// slowDiskSpan is how long changes are sent while all disks are slow, patience how long their sender
// waits for an answer before it sends a copy to another control node.
const (
	slowDiskSpan = 40 * time.Second
	patience     = 15 * time.Second
)

// changeOnSlowDisks sends one change after the other, each again until it is acknowledged, while each
// sync of each control node waits, and prints how long they took.
func changeOnSlowDisks(ctx context.Context, _ *replicas, c *clients) {
	in := c.in
	for _, m := range in.controlNodes() {
		m.setSync(in.options.SyncWait)
	}
	o := newOperators(in, c.check, newZoneOrders())
	o.client.Timeout = patience
	before := in.newestTerm()
	var took []time.Duration
	for version := uint64(2); ctx.Err() == nil; version++ {
		began := time.Now()
		c.check.send(version, document(version))
		for !o.putVersion(version, int(version)) && ctx.Err() == nil {
			pause(ctx, 50*time.Millisecond)
		}
		if ctx.Err() == nil {
			took = append(took, time.Since(began))
		}
	}
	slices.Sort(took)
	fmt.Printf("syncs of %s: %d changes acknowledged, %d terms gone by", in.options.SyncWait, len(took), in.newestTerm()-before)
	if n := len(took); n > 0 {
		fmt.Printf(", a change took %s, %s at the most", took[n/2].Round(time.Millisecond), took[n-1].Round(time.Millisecond))
	}
	fmt.Println()
}

var termSeen = regexp.MustCompile(`in term (\d+),`)

// newestTerm returns the newest term that stands in the control nodes' logs.
func (in *installation) newestTerm() int {
	newest := 0
	for _, m := range in.controlNodes() {
		text, err := os.ReadFile(m.log.Name())
		if err != nil {
			continue
		}
		for _, seen := range termSeen.FindAllSubmatch(text, -1) {
			if term, err := strconv.Atoi(string(seen[1])); err == nil {
				newest = max(newest, term)
			}
		}
	}
	return newest
}

// playDisks begins the spells of slow disks, or one that lasts for the whole run.
func (in *installation) playDisks(ctx context.Context, random *rand.Rand) *sync.WaitGroup {
	var playing sync.WaitGroup
	switch {
	case in.options.SyncWait > 0:
		for _, m := range in.controlNodes() {
			m.setSync(in.options.SyncWait)
		}
	case !in.options.OldDisks:
		playing.Go(func() { in.slowDisks(ctx, random) })
	}
	return &playing
}

// slowRestart makes the disks of all control nodes slow in about half of the runs, until the function
// that it returns is called.
func (in *installation) slowRestart(random *rand.Rand) (end func()) {
	wait := time.Duration(1 + random.Int64N(int64(restartSync)))
	if random.IntN(2) == 0 || in.options.OldDisks || in.options.SyncWait > 0 {
		return func() {}
	}
	in.disks.begin()
	for _, m := range in.controlNodes() {
		fmt.Fprintf(m.log, "soak: each sync waits %s after the loss of power\n", wait)
		m.setSync(wait)
	}
	return func() {
		for _, m := range in.controlNodes() {
			m.setSync(0)
		}
		in.disks.end()
	}
}
