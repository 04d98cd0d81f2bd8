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
	// maxOutage is the longest time for which a process has no power.
	maxOutage = 1500 * time.Millisecond
	// maxBlackoutChanges limits the changes that are sent until one is acknowledged.
	maxBlackoutChanges = 20
	// recoveryTimeout limits the wait for a gateway to act on the acknowledged version again.
	recoveryTimeout = 30 * time.Second
)

// blackout kills all processes at once, right after a change was acknowledged, and starts each again
// after a random outage. Until a leader is elected, the configuration has to be recovered from the
// disks.
func (in *installation) blackout(operators *operators, clients *clients, random *rand.Rand) {
	lagging := in.laggingNode()
	endSilence := func() {}
	if lagging != nil {
		endSilence = lagging.silence()
	}
	version, acknowledged := operators.changeUntilAcknowledged()
	if !acknowledged {
		endSilence()
		clients.check.fail("blackout", "no change was acknowledged in %d", maxBlackoutChanges)
		return
	}
	for _, m := range in.members {
		fmt.Fprintf(m.log, "soak: %s blackout after version %d\n", time.Now().Format(time.RFC3339Nano), version)
		m.beginFault()
		defer in.strikes.begin(m.name, "blackout", false)(0)
		m.signal(syscall.SIGKILL)
	}
	endSilence()
	defer clients.watchForDenials(version)()
	defer in.slowDisksForRestart(rand.New(rand.NewPCG(in.options.Seed, 16)))()
	var starts sync.WaitGroup
	for _, m := range in.members {
		outage := time.Duration(random.Int64N(int64(maxOutage)))
		if lagging != nil {
			var hang time.Duration
			if outage, hang = in.outageBehind(m, lagging); hang > 0 {
				starts.Go(func() { m.hangSyncs(hang) })
			}
		}
		starts.Add(1)
		go func() {
			defer starts.Done()
			in.restart(m, syscall.SIGKILL, outage, nil)
			m.endFault()
		}()
	}
	starts.Wait()
	for _, m := range in.gatewayNodes() {
		clients.waitForVersion(m, version)
	}
}

// changeUntilAcknowledged sends changes until one is acknowledged and returns its version.
func (o *operators) changeUntilAcknowledged() (uint64, bool) {
	for try := range maxBlackoutChanges {
		if o.put(try) {
			version, _ := o.check.newest()
			return version, true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, false
}

// waitForVersion waits until a gateway serves by a version again.
func (c *clients) waitForVersion(m *member, version uint64) {
	client := newProbeClient()
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(probeInterval) {
		if c.probeVersion(client, m, version).status == http.StatusOK {
			c.check.count("blackouts made up for")
			return
		}
	}
	c.check.fail("blackout", "%s never acts on version %d again", m.name, version)
}
