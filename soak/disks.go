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

// Timing of slow disks: the longest pause between two periods, the longest period and the longest
// wait of a sync.
const (
	maxSlowDiskPause    = 2 * time.Second
	maxSlowDiskDuration = 2500 * time.Millisecond
	maxSyncWait         = 1500 * time.Millisecond
	// hangingSyncWait exceeds every period, so that the sync returns when the period ends.
	hangingSyncWait = time.Minute
	// Syncs hang in one of hangOneIn periods.
	hangOneIn = 4
	// maxRestartSyncWait limits the wait of each sync while all processes restart after a power
	// loss.
	maxRestartSyncWait = 400 * time.Millisecond
)

// setSyncWait makes each sync of a control node's data folder wait, 0 for no wait. Programs built
// with the tag soak read the wait from a file beside the folder.
func (m *member) setSyncWait(wait time.Duration) {
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

// injectSlowDisks repeatedly makes the disks of one or all control nodes slow or hang for a while,
// independently of other faults.
func (in *installation) injectSlowDisks(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(maxSlowDiskPause))))
		affected := in.controlNodes()
		if random.IntN(2) == 0 {
			index := random.IntN(controlNodeCount)
			affected = affected[index : index+1]
		}
		wait := time.Duration(1 + random.Int64N(int64(maxSyncWait)))
		if random.IntN(hangOneIn) == 0 {
			wait = hangingSyncWait
		}
		duration := time.Duration(random.Int64N(int64(maxSlowDiskDuration)))
		if ctx.Err() != nil {
			return
		}
		in.slowDisksFor(ctx, affected, wait, duration)
	}
}

// slowDisksFor makes the syncs of control nodes wait for a while. Time limits are not checked
// meanwhile.
func (in *installation) slowDisksFor(ctx context.Context, affected []*member, wait, duration time.Duration) {
	in.disks.begin()
	for _, m := range affected {
		fmt.Fprintf(m.log, "soak: %s each sync waits %s for %s\n", time.Now().Format(time.RFC3339Nano), wait, duration)
		m.setSyncWait(wait)
	}
	sleep(ctx, duration)
	for _, m := range affected {
		m.setSyncWait(0)
	}
	in.disks.end()
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// slowDiskDuration is how long changes are sent while all disks are slow, changeTimeout how long the
// sender waits for an answer before it sends a copy to another control node.
const (
	slowDiskDuration = 40 * time.Second
	changeTimeout    = 15 * time.Second
)

// changeOnSlowDisks sends changes while each sync of every control node waits, each change until it
// is acknowledged, and prints how long that took.
func changeOnSlowDisks(ctx context.Context, _ *replicas, c *clients) {
	in := c.in
	for _, m := range in.controlNodes() {
		m.setSyncWait(in.options.SyncWait)
	}
	o := newOperators(in, c.check, newZoneDrains())
	o.client.Timeout = changeTimeout
	before := in.newestTerm()
	var took []time.Duration
	for version := uint64(2); ctx.Err() == nil; version++ {
		began := time.Now()
		c.check.recordSent(version, configurationOf(version, in.options.Copies))
		for !o.putVersion(version, int(version)) && ctx.Err() == nil {
			sleep(ctx, 50*time.Millisecond)
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

var termPattern = regexp.MustCompile(`in term (\d+),`)

// newestTerm returns the highest term in the control nodes' logs.
func (in *installation) newestTerm() int {
	newest := 0
	for _, m := range in.controlNodes() {
		text, err := os.ReadFile(m.log.Name())
		if err != nil {
			continue
		}
		for _, seen := range termPattern.FindAllSubmatch(text, -1) {
			if term, err := strconv.Atoi(string(seen[1])); err == nil {
				newest = max(newest, term)
			}
		}
	}
	return newest
}

// startSlowDisks starts the periods of slow disks, or a single one for the whole run.
func (in *installation) startSlowDisks(ctx context.Context, random *rand.Rand) *sync.WaitGroup {
	var playing sync.WaitGroup
	switch {
	case in.options.SyncWait > 0:
		for _, m := range in.controlNodes() {
			m.setSyncWait(in.options.SyncWait)
		}
	case !in.options.OldDisks:
		playing.Go(func() { in.injectSlowDisks(ctx, random) })
	}
	return &playing
}

// slowDisksForRestart makes the disks of all control nodes slow in half of the runs, until the
// returned function is called.
func (in *installation) slowDisksForRestart(random *rand.Rand) (end func()) {
	wait := time.Duration(1 + random.Int64N(int64(maxRestartSyncWait)))
	if random.IntN(2) == 0 || in.options.OldDisks || in.options.SyncWait > 0 {
		return func() {}
	}
	in.disks.begin()
	for _, m := range in.controlNodes() {
		fmt.Fprintf(m.log, "soak: each sync waits %s after the loss of power\n", wait)
		m.setSyncWait(wait)
	}
	return func() {
		for _, m := range in.controlNodes() {
			m.setSyncWait(0)
		}
		in.disks.end()
	}
}
