package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// inject strikes at random for a while; strikes overlap.
func (in *installation) inject(span time.Duration, random *rand.Rand) {
	end := time.Now().Add(span)
	var strikes sync.WaitGroup
	for time.Now().Before(end) {
		time.Sleep(time.Duration(200+random.IntN(1500)) * time.Millisecond)
		m := in.members[random.IntN(len(in.members))]
		if in.mayStrike(m) {
			kind := faults[random.IntN(len(faults))]
			if kind.diskless && !m.control {
				continue
			}
			lasts := time.Duration(300+random.IntN(3500)) * time.Millisecond
			seeded := rand.New(rand.NewPCG(random.Uint64(), 5))
			fmt.Fprintf(m.log, "soak: %s %s for %s\n", time.Now().Format(time.RFC3339Nano), kind.name, lasts)
			m.trouble()
			strikes.Add(1)
			go func() {
				defer strikes.Done()
				kind.strike(in, m, lasts, seeded)
				m.calm()
			}()
		}
	}
	strikes.Wait()
}

// mayStrike keeps a majority of control nodes undisturbed, so that each strike
// meets a working installation, and one strike at a time on a member.
func (in *installation) mayStrike(m *member) bool {
	if _, since := m.state(); since.IsZero() && m.life > 0 && m.troubled {
		return false
	}
	if !m.control {
		return true
	}
	for _, other := range in.controlNodes() {
		if other != m && other.troubled || time.Since(other.calmSince) < 3*time.Second && !other.calmSince.IsZero() {
			return false
		}
	}
	return true
}

// heal ends all trouble.
func (in *installation) heal() {
	for _, m := range in.members {
		for _, p := range m.proxies {
			p.set(trouble{})
		}
		m.signal(syscall.SIGCONT)
		m.calm()
	}
}

// fault is one way to strike a member.
type fault struct {
	name string
	// diskless marks faults of the data folder, which only control nodes have.
	diskless bool
	strike   func(in *installation, m *member, lasts time.Duration, random *rand.Rand)
}

var faults = []fault{
	{name: "kill", strike: func(in *installation, m *member, lasts time.Duration, _ *rand.Rand) {
		in.restart(m, syscall.SIGKILL, lasts/2, nil)
	}},
	{name: "stop", strike: func(in *installation, m *member, lasts time.Duration, _ *rand.Rand) {
		in.restart(m, syscall.SIGTERM, lasts/4, nil)
	}},
	{name: "pause", strike: func(_ *installation, m *member, lasts time.Duration, _ *rand.Rand) {
		m.signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		m.signal(syscall.SIGCONT)
	}},
	{name: "suspend", strike: func(_ *installation, m *member, _ time.Duration, _ *rand.Rand) {
		// The clock of leases goes ahead, the steady one does not: programs built for the soak.
		m.signal(syscall.SIGUSR2)
	}},
	{name: "reload", strike: func(_ *installation, m *member, _ time.Duration, _ *rand.Rand) { m.signal(syscall.SIGHUP) }},
	{name: "delay", strike: func(_ *installation, m *member, lasts time.Duration, random *rand.Rand) {
		m.proxied(lasts, trouble{delay: time.Duration(random.IntN(120)) * time.Millisecond})
	}},
	{name: "silence", strike: func(_ *installation, m *member, lasts time.Duration, _ *rand.Rand) {
		m.proxied(lasts, trouble{silentIn: true, silentOut: true})
	}},
	{name: "cut in", strike: func(_ *installation, m *member, lasts time.Duration, _ *rand.Rand) {
		m.proxied(lasts, trouble{silentIn: true})
	}},
	{name: "cut out", strike: func(_ *installation, m *member, lasts time.Duration, _ *rand.Rand) {
		m.proxied(lasts, trouble{silentOut: true})
	}},
	{name: "reset", strike: func(_ *installation, m *member, _ time.Duration, random *rand.Rand) {
		for _, p := range m.proxies {
			p.resetSome(0.7, random)
		}
	}},
	{name: "wipe", diskless: true, strike: func(in *installation, m *member, lasts time.Duration, _ *rand.Rand) {
		// Often long enough for a learner to take the place, so that one which is nobody's
		// seed may lead when the machine is back.
		in.restart(m, syscall.SIGKILL, lasts+spareTakesOver/2, func() { _ = os.RemoveAll(m.folder) })
		time.Sleep(4 * time.Second) // the time that a lost disk may take to be made up for
	}},
	{name: "folder in the way", diskless: true, strike: func(in *installation, m *member, lasts time.Duration, _ *rand.Rand) {
		aside := m.folder + ".aside"
		in.restart(m, syscall.SIGKILL, 0, func() {
			_ = os.Rename(m.folder, aside)
			_ = os.WriteFile(m.folder, []byte("in the way"), 0o600)
		})
		time.Sleep(lasts)
		_ = os.Remove(m.folder)
		_ = os.Rename(aside, m.folder)
	}},
}

// proxied sets trouble on a member's proxies for a while.
func (m *member) proxied(lasts time.Duration, t trouble) {
	for _, p := range m.proxies {
		p.set(t)
	}
	time.Sleep(lasts)
	for _, p := range m.proxies {
		p.set(trouble{})
	}
}

// restart ends a process with a signal and starts it again after a pause;
// between is done while it is down.
func (in *installation) restart(m *member, s syscall.Signal, pause time.Duration, between func()) {
	m.signal(s)
	if !m.wait(10 * time.Second) {
		m.signal(syscall.SIGKILL)
		m.wait(5 * time.Second)
	}
	if between != nil {
		between()
	}
	time.Sleep(pause)
	if m.control {
		_ = in.settings(m, false)
	}
	if err := in.start(m); err != nil {
		fmt.Fprintln(m.log, "soak: start:", err)
	}
}
