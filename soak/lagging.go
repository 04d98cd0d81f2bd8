package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Kinds of --lagging-node: what keeps the control nodes that hold the last change from starting as early as
// the one that lacks it.
const (
	laggingHungDisks  = "hung-disks"
	laggingLateStart  = "late-start"
	laggingStuckSyncs = "stuck-syncs"
)

const (
	// lateMajorityTime is how long hung-disks and late-start keep them.
	lateMajorityTime = 15 * time.Second
	// stuckExitTime is how long a process whose sync is stuck in the kernel takes to exit after it was
	// killed, stuckSyncTime how long syncs hang after the next start.
	stuckExitTime = 13 * time.Second
	stuckSyncTime = 8 * time.Second
	// silenceTime is how long a control node is silent before the change that it is to lack.
	silenceTime = 500 * time.Millisecond
	// promptOutage is how long processes that start early have no power.
	promptOutage = 200 * time.Millisecond
	// readinessPath is the path of a gateway's readiness check.
	readinessPath = "/-/readiness"
)

// laggingNode is the control node that lacks the change before the loss of power, nil if the run has none.
func (in *installation) laggingNode() *member {
	if in.options.LaggingNode == "" {
		return nil
	}
	return in.controlNodes()[seedCount-1]
}

// silence cuts a member off from all others until the returned function is called.
func (m *member) silence() (end func()) {
	for _, p := range m.proxies {
		p.set(impairment{blockInbound: true, blockOutbound: true})
	}
	time.Sleep(silenceTime)
	return func() {
		for _, p := range m.proxies {
			p.set(impairment{})
		}
	}
}

// outageBehind returns the outage of a member after the loss of power, and for how long its syncs hang from
// then on, when the control nodes that hold the last change are to come back behind the lagging one.
func (in *installation) outageBehind(m, lagging *member) (outage, hang time.Duration) {
	switch {
	case !m.control || m == lagging:
		return promptOutage, 0
	case in.options.LaggingNode == laggingLateStart:
		return lateMajorityTime, 0
	case in.options.LaggingNode == laggingStuckSyncs:
		return stuckExitTime, stuckExitTime + stuckSyncTime
	}
	return promptOutage, lateMajorityTime
}

// hangSyncs makes the syncs of a control node hang for a while.
func (m *member) hangSyncs(duration time.Duration) {
	m.setSyncWait(hangingSyncWait)
	time.Sleep(duration)
	m.setSyncWait(0)
}

// watchForDenials checks until the returned function is called that no gateway refuses a request for good
// whose route the acknowledged version has.
func (c *clients) watchForDenials(version uint64) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	for _, m := range c.in.gatewayNodes() {
		watching.Go(func() {
			client := newProbeClient()
			for ctx.Err() == nil {
				if seen := c.probeVersion(client, m, version); seen.status == http.StatusNotFound {
					c.check.fail("denied", "%s answered 404 to a route of version %d, acknowledged before the loss of power; %s", m.name, version, c.in.describeMembers())
				}
				sleep(ctx, probeInterval)
			}
		})
	}
	return func() {
		cancel()
		watching.Wait()
	}
}

// versionProbe is the answer to a request whose route only one version has. absent is set if the gateway
// has no such route or no configuration.
type versionProbe struct {
	status int
	absent bool
}

// isAbsent reports whether an answer says that the gateway has no such route or no configuration.
func isAbsent(status int, body string) bool {
	unconfirmed := status == http.StatusServiceUnavailable && (strings.HasPrefix(body, "no route") || strings.HasPrefix(body, "no configuration"))
	return status == http.StatusNotFound || unconfirmed
}

// newProbeClient returns a client that opens a connection for each request.
func newProbeClient() *http.Client {
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
}

// logWhenServing writes a line into a member's log when the process that was just started serves: a control
// node that gives its metrics, a gateway that is ready.
func (in *installation) logWhenServing(m *member, ended <-chan struct{}) {
	began := time.Now()
	url := "http://" + in.processAddress(m, in.adminPort()) + "/metrics"
	if !m.control {
		url = "http://" + in.processAddress(m, in.readyPort()) + readinessPath
	}
	client := newProbeClient()
	for {
		select {
		case <-ended:
			return
		case <-time.After(probeInterval / 10):
		}
		response, err := client.Get(url)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			continue
		}
		m.mu.Lock()
		if m.ended == ended {
			m.servesSince = time.Now()
			fmt.Fprintf(m.log, "soak: %s serves %s after its start\n", m.servesSince.Format(time.RFC3339Nano), time.Since(began).Round(time.Millisecond))
		}
		m.mu.Unlock()
		return
	}
}

// describeMembers describes the state of each member for a finding.
func (in *installation) describeMembers() string {
	var all []string
	for _, m := range in.members {
		m.mu.Lock()
		text := fmt.Sprintf("%s start %d", m.name, m.startCount)
		if m.servesSince.IsZero() {
			text += " does not serve"
		} else {
			text += " serves for " + time.Since(m.servesSince).Round(time.Millisecond).String()
		}
		if m.faultActive {
			text += " (fault)"
		}
		m.mu.Unlock()
		all = append(all, text)
	}
	return strings.Join(all, ", ")
}
