package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// longestDark is the longest time for which a process is without power.
	longestDark = 1500 * time.Millisecond
	// blackoutTries bounds the changes that are sent until one is acknowledged.
	blackoutTries = 20
	// answerWait bounds the wait for a gateway's first answers after its start.
	answerWait = 30 * time.Second
)

// blackout takes the power from all processes at once, right after a change was
// acknowledged, and lets them come back one by one. What the disks know decides until a
// leader is elected.
func (in *installation) blackout(operators *operators, clients *clients, random *rand.Rand) {
	version, acknowledged := operators.changeUntilAcknowledged()
	if !acknowledged {
		clients.check.fail("blackout", "no change was acknowledged in %d", blackoutTries)
		return
	}
	for _, m := range in.members {
		fmt.Fprintf(m.log, "soak: %s blackout after version %d\n", time.Now().Format(time.RFC3339Nano), version)
		m.trouble()
		m.signal(syscall.SIGKILL)
	}
	defer in.slowRestart(rand.New(rand.NewPCG(in.options.Seed, 16)))()
	var starts sync.WaitGroup
	for _, m := range in.members {
		dark := time.Duration(random.Int64N(int64(longestDark)))
		starts.Add(1)
		go func() {
			defer starts.Done()
			in.restart(m, syscall.SIGKILL, dark, nil)
			m.calm()
		}()
	}
	starts.Wait()
	for _, m := range in.gatewayNodes() {
		clients.regains(m, version)
	}
}

// changeUntilAcknowledged sends changes until one is acknowledged and returns its version.
func (o *operators) changeUntilAcknowledged() (uint64, bool) {
	for try := range blackoutTries {
		if o.put(try) {
			version, _ := o.check.newest()
			return version, true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, false
}

// regains waits until a gateway acts on a version again.
func (c *clients) regains(m *member, version uint64) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(answerWait); time.Now().Before(end); time.Sleep(probeEvery) {
		if c.probeVersion(client, m, version) == http.StatusOK {
			c.check.count("blackouts made up for")
			return
		}
	}
	c.check.fail("blackout", "%s never acts on version %d again", m.name, version)
}
