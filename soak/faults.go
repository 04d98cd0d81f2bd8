package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// controlFaultPause is how long after the end of a control node's fault none of them gets the next one.
const controlFaultPause = 3 * time.Second

// inject starts random faults for a while; faults on different members overlap.
func (in *installation) inject(span time.Duration, random *rand.Rand) {
	end := time.Now().Add(span)
	var running sync.WaitGroup
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+random.IntN(1500)) * time.Millisecond)
		m := in.members[random.IntN(len(in.members))]
		if in.mayInject(m) {
			chosen := faults[random.IntN(len(faults))]
			if chosen.needsDataFolder && !m.control {
				continue
			}
			duration := time.Duration(300+random.IntN(3500)) * time.Millisecond
			faultRandom := rand.New(rand.NewPCG(random.Uint64(), 5))
			if in.tryBeginFault(m) {
				running.Go(func() { in.apply(chosen, m, duration, faultRandom) })
			}
		}
	}
	running.Wait()
}

// apply applies a fault to a member that is marked as faulty, and ends the mark.
func (in *installation) apply(chosen fault, m *member, duration time.Duration, random *rand.Rand) {
	fmt.Fprintf(m.log, "soak: %s %s for %s\n", time.Now().Format(time.RFC3339Nano), chosen.name, duration)
	if !chosen.endsNothing {
		defer in.strikes.begin(m.name, chosen.name, false)(0)
	}
	chosen.apply(in, m, duration, random)
	m.endFault()
}

// mayInject allows one fault at a time on a member, and one faulty control node at a time, so that a
// majority of the control nodes stays healthy.
func (in *installation) mayInject(m *member) bool {
	if active, _ := m.lastFault(); active {
		return false
	}
	if !m.control {
		return true
	}
	for _, other := range in.controlNodes() {
		active, endedAt := other.lastFault()
		if other != m && active || !endedAt.IsZero() && time.Since(endedAt) < controlFaultPause {
			return false
		}
	}
	return true
}

// tryBeginFault marks a member as faulty if that is allowed. It is asked here as well for strikes that are drawn
// beside each other.
func (in *installation) tryBeginFault(m *member) bool {
	in.faultMu.Lock()
	defer in.faultMu.Unlock()
	return in.mayInject(m) && m.tryBeginFault()
}

// endAllFaults removes every impairment and resumes paused processes.
func (in *installation) endAllFaults() {
	for _, m := range in.members {
		for _, p := range m.proxies {
			p.set(impairment{})
		}
		m.signal(syscall.SIGCONT)
		m.endFault()
	}
}

// fault is a kind of fault that can be injected into a member.
type fault struct {
	name string
	// needsDataFolder marks faults of the data folder, which only control nodes have.
	needsDataFolder bool
	// endsNothing marks faults that give a gateway no reason to end an answer, or record themselves what does.
	endsNothing bool
	apply       func(in *installation, m *member, duration time.Duration, random *rand.Rand)
}

var faults = []fault{
	{name: "kill", apply: func(in *installation, m *member, duration time.Duration, _ *rand.Rand) {
		in.restart(m, syscall.SIGKILL, duration/2, nil)
	}},
	{name: "stop", endsNothing: true, apply: func(in *installation, m *member, duration time.Duration, random *rand.Rand) {
		in.stopAndStart(m, duration/4, random)
	}},
	{name: "pause", apply: func(_ *installation, m *member, duration time.Duration, _ *rand.Rand) {
		m.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		m.signal(syscall.SIGCONT)
	}},
	{name: "suspend", endsNothing: true, apply: func(_ *installation, m *member, _ time.Duration, _ *rand.Rand) {
		// Only programs built with the tag soak handle this signal: the clock that leases use jumps
		// ahead, the monotonic clock does not.
		m.signal(syscall.SIGUSR2)
	}},
	{name: "reload", endsNothing: true, apply: func(_ *installation, m *member, _ time.Duration, _ *rand.Rand) { m.signal(syscall.SIGHUP) }},
	{name: "delay", apply: func(_ *installation, m *member, duration time.Duration, random *rand.Rand) {
		m.impairProxies(duration, impairment{delay: time.Duration(random.IntN(120)) * time.Millisecond})
	}},
	{name: "silence", apply: func(_ *installation, m *member, duration time.Duration, _ *rand.Rand) {
		m.impairProxies(duration, impairment{blockInbound: true, blockOutbound: true})
	}},
	{name: "cut in", apply: func(_ *installation, m *member, duration time.Duration, _ *rand.Rand) {
		m.impairProxies(duration, impairment{blockInbound: true})
	}},
	{name: "cut out", apply: func(_ *installation, m *member, duration time.Duration, _ *rand.Rand) {
		m.impairProxies(duration, impairment{blockOutbound: true})
	}},
	{name: "reset", apply: func(_ *installation, m *member, _ time.Duration, random *rand.Rand) {
		for _, p := range m.proxies {
			p.resetSome(0.7, random)
		}
	}},
	{name: "wipe", needsDataFolder: true, apply: func(in *installation, m *member, duration time.Duration, _ *rand.Rand) {
		// The outage is often long enough for a learner to replace the voter, so that a node that is
		// not a seed may be the leader when this one returns.
		in.restart(m, syscall.SIGKILL, duration+voterReplacementDelay/2, func() { _ = os.RemoveAll(m.folder) })
		time.Sleep(4 * time.Second) // how long recovery from a lost disk may take
	}},
	{name: "folder in the way", needsDataFolder: true, apply: func(in *installation, m *member, duration time.Duration, _ *rand.Rand) {
		aside := m.folder + ".aside"
		in.restart(m, syscall.SIGKILL, 0, func() {
			_ = os.Rename(m.folder, aside)
			_ = os.WriteFile(m.folder, []byte("in the way"), 0o600)
		})
		time.Sleep(duration)
		_ = os.Remove(m.folder)
		_ = os.Rename(aside, m.folder)
	}},
}

// impairProxies applies an impairment to a member's proxies for a while.
func (m *member) impairProxies(duration time.Duration, t impairment) {
	for _, p := range m.proxies {
		p.set(t)
	}
	time.Sleep(duration)
	for _, p := range m.proxies {
		p.set(impairment{})
	}
}

// restart stops a process with a signal and starts it again after a pause; between runs while the
// process is down.
func (in *installation) restart(m *member, s syscall.Signal, pause time.Duration, between func()) {
	m.signal(s)
	if !m.waitForExit(10 * time.Second) {
		m.signal(syscall.SIGKILL)
		m.waitForExit(5 * time.Second)
	}
	if between != nil {
		between()
	}
	in.startAfter(m, pause)
}

// startAfter starts a process again after a pause.
func (in *installation) startAfter(m *member, pause time.Duration) {
	time.Sleep(pause)
	if m.control {
		_ = in.writeSettings(m, false)
	}
	if err := in.start(m); err != nil {
		fmt.Fprintln(m.log, "soak: start:", err)
	}
}
