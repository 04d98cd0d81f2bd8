package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// The hosts of the installation on loopback. A process listens at its inner
// address; its outer one, which all others use, is the proxy's.
const (
	outerNet   = "127.20.1."
	innerNet   = "127.20.2."
	replicaNet = "127.20.3."
	// controls are the control nodes, of which the first are everybody's seeds.
	controls    = 4
	seedNodes   = 3
	tolerance   = 1
	gatewayHost = 10
	// spareTakesOver is about how long a voter has to be gone for that.
	spareTakesOver = 3 * time.Second
	// wantedVoters is how many control nodes vote.
	wantedVoters = 2*tolerance + 1
)

// member is one process with its proxies.
type member struct {
	name    string
	program string
	host    int
	control bool
	folder  string
	file    string
	proxies []*proxy
	// bin is the folder of the member's programs, "" for that of the run.
	bin string
	log *os.File

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// life counts the starts; calmSince is when the last trouble of the member ended.
	life      int
	calmSince time.Time
	troubled  bool
	expected  bool
	ownEnds   int
}

// installation is all processes of a run.
type installation struct {
	options options
	members []*member
	disks   spells
}

// spells counts the spells of slow disks under way and remembers when the last one ended.
type spells struct {
	mu      sync.Mutex
	open    int
	endedAt time.Time
}

func (s *spells) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open++
}

func (s *spells) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	s.endedAt = time.Now()
}

// over returns when the last spell ended; none is false while one is under way.
func (s *spells) over() (endedAt time.Time, none bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endedAt, s.open == 0
}

func newInstallation(o options) (*installation, error) {
	if err := os.RemoveAll(o.Folder); err != nil {
		return nil, err
	}
	in := &installation{options: o}
	for i := 1; i <= controls; i++ {
		in.members = append(in.members, &member{name: fmt.Sprint("control-", i), program: "moorspool-fleet-control", host: i, control: true})
	}
	for i := 1; i <= o.Gateways; i++ {
		in.members = append(in.members, &member{name: fmt.Sprint("gateway-", i), program: "moorspool-fleet-gateway", host: gatewayHost + i})
	}
	for _, m := range in.members {
		if err := in.prepare(m); err != nil {
			return nil, err
		}
	}
	return in, nil
}

// The ports, from the first one on.
func (in *installation) peerPort() int  { return in.options.Port }
func (in *installation) callPort() int  { return in.options.Port + 1 }
func (in *installation) readyPort() int { return in.options.Port + 2 }
func (in *installation) adminPort() int { return in.options.Port + 3 }

func (in *installation) outer(m *member, port int) string {
	return fmt.Sprintf("%s%d:%d", outerNet, m.host, port)
}

func (in *installation) inner(m *member, port int) string {
	return fmt.Sprintf("%s%d:%d", innerNet, m.host, port)
}

func (in *installation) prepare(m *member) error {
	folder := filepath.Join(in.options.Folder, m.name)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	m.folder = filepath.Join(folder, "data")
	m.file = filepath.Join(folder, "settings.yaml")
	log, err := os.Create(filepath.Join(folder, "log"))
	if err != nil {
		return err
	}
	m.log = log
	for _, port := range []int{in.peerPort(), in.callPort(), in.readyPort(), in.adminPort()} {
		if err := mustBeFree(in.inner(m, port)); err != nil {
			return err
		}
	}
	ports := []int{in.peerPort(), in.callPort()}
	for _, port := range ports {
		p, err := newProxy(in.outer(m, port), in.inner(m, port))
		if err != nil {
			return err
		}
		m.proxies = append(m.proxies, p)
	}
	return in.settings(m, true)
}

// mustBeFree fails if somebody listens at an address: processes that an earlier run
// left behind would be taken for this run's.
func mustBeFree(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "another run is under way or left processes behind")
	}
	return listener.Close()
}

// settings writes a member's settings file.
func (in *installation) settings(m *member, found bool) error {
	var seeds []string
	for i := 1; i <= seedNodes; i++ {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s%d:%d", outerNet, i, in.callPort())))
	}
	quota := fmt.Sprintf("quota: {window: %s, overage: %v, slack: %d}\n", quotaWindow, quotaOverage, quotaSlack)
	text := fmt.Sprintf("node: %s\nzone: zone-%d\naddress: %s%d\nlisten: %s%d\npeerPort: %d\nadminPort: %d\nseeds: [%s]\nmemoryMB: %d\n",
		m.name, m.host%3, outerNet, m.host, innerNet, m.host, in.peerPort(), in.adminPort(), strings.Join(seeds, ", "), memoryMB)
	if m.control {
		text += fmt.Sprintf("calls: %s\nfolder: %s\nfound: %v\ntolerance: %d\nheartbeat: 500ms\nlease: 1s\n"+quota, in.inner(m, in.callPort()), m.folder, found, tolerance)
	} else {
		text += fmt.Sprintf("clients: %s\nready: %s\nstopLimit: 6s\nbalancerLag: 500ms\nretry: {ratio: 0.2, extra: 50, window: 10s}\ntrust: %s\n"+quota, in.inner(m, in.callPort()), in.inner(m, in.readyPort()), trust)
	}
	return os.WriteFile(m.file, []byte(text), 0o644)
}

func (in *installation) startAll() error {
	for _, m := range in.members {
		if err := in.start(m); err != nil {
			return err
		}
	}
	return nil
}

func (in *installation) start(m *member) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	command := exec.Command(in.program(m), "-c", m.file)
	command.Stdout = m.log
	command.Stderr = m.log
	if err := command.Start(); err != nil {
		return err
	}
	m.process = command
	m.life++
	m.expected = false
	m.ended = make(chan struct{})
	ended := m.ended
	go func() {
		_ = command.Wait()
		m.mu.Lock()
		if !m.expected && m.process == command {
			m.ownEnds++
		}
		m.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to a member's process.
func (m *member) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		m.expected = true
	}
	if m.process != nil && m.process.Process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// wait waits for the process's end and reports whether it came in time.
func (m *member) wait(limit time.Duration) bool {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// trouble marks a member as troubled until calm is called.
func (m *member) trouble() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.troubled = true
}

func (m *member) calm() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.troubled = false
	m.calmSince = time.Now()
}

// state returns the member's life and since when it has been calm, zero if it is not.
func (m *member) state() (life int, calmSince time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.troubled {
		return m.life, time.Time{}
	}
	return m.life, m.calmSince
}

func (in *installation) controlNodes() []*member { return in.members[:controls] }

func (in *installation) gatewayNodes() []*member { return in.members[controls:] }

// coreCalmSince returns since when all control nodes and their disks have been calm, zero if one is
// not.
func (in *installation) coreCalmSince() time.Time {
	latest, none := in.disks.over()
	if !none {
		return time.Time{}
	}
	for _, m := range in.controlNodes() {
		_, since := m.state()
		if since.IsZero() {
			return since
		}
		if since.After(latest) {
			latest = since
		}
	}
	return latest
}

// endOnSignal ends the run's processes when the run itself is ended.
func (in *installation) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	<-signals
	in.end()
	os.Exit(1)
}

// end kills what still runs, by the processes that this run started.
func (in *installation) end() {
	for _, m := range in.members {
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
	}
	for _, m := range in.members {
		m.wait(5 * time.Second)
		for _, p := range m.proxies {
			p.close()
		}
		_ = m.log.Close()
	}
}
