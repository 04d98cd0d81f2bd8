package main

import (
	"fmt"
	"math/rand/v2"
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

// Loopback networks of the installation. A process listens on its address in processNet; all others
// reach it through its proxy, at the address in proxyNet.
const (
	proxyNet   = "127.20.1."
	processNet = "127.20.2."
	replicaNet = "127.20.3."
	// controlNodeCount is the number of control nodes; the first seedCount of them are the seeds of
	// all processes.
	controlNodeCount  = 4
	seedCount         = 3
	tolerance         = 1
	gatewayHostOffset = 10
	// voterReplacementDelay is roughly how long a voter has to be gone before another node replaces
	// it.
	voterReplacementDelay = 3 * time.Second
	// voterCount is the number of control nodes that vote.
	voterCount = 2*tolerance + 1
)

// member is a control node or gateway of the installation: its process, files and proxies.
type member struct {
	name         string
	program      string
	host         int
	control      bool
	folder       string
	settingsFile string
	proxies      []*proxy
	// bin is the folder of the member's programs, "" for the run's default.
	bin string
	log *os.File

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	// startCount counts the process starts, the first of which was at firstStartedAt; faultFreeSince is
	// the end of the member's last fault.
	startCount     int
	firstStartedAt time.Time
	faultFreeSince time.Time
	faultActive    bool
	// servesSince is when the process began to serve, the zero time if it does not yet.
	servesSince     time.Time
	exitExpected    bool
	unexpectedExits int
	// unexpectedExit says how the last one of them ended.
	unexpectedExit string
}

// installation is all processes of a run.
type installation struct {
	options options
	members []*member
	disks   slowDiskPeriods
	stop    plannedStop
	strikes strikeLog
	stops   stopCounts
	// faultMu makes sure that at most one control node is marked as faulty.
	faultMu sync.Mutex
	// besideStop sends requests to a gateway that learns late of its stop, nil for none.
	besideStop func(m *member, random *rand.Rand)
	// replicaLog holds what was done to replicas.
	replicaLog *os.File
}

// plannedStop is how gateways stop when they are told to.
type plannedStop struct {
	// limit is the longest time of a stop, balancerLag how long clients go on to use a gateway that stops.
	limit, balancerLag time.Duration
}

// defaultStop is how the gateways of a soak stop.
var defaultStop = plannedStop{limit: 6 * time.Second, balancerLag: 500 * time.Millisecond}

// slowDiskPeriods counts the active periods of slow disks and records when the last one ended.
type slowDiskPeriods struct {
	mu      sync.Mutex
	active  int
	endedAt time.Time
}

func (s *slowDiskPeriods) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
}

func (s *slowDiskPeriods) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	s.endedAt = time.Now()
}

// lastEnd returns when the last period ended; none is false while one is active.
func (s *slowDiskPeriods) lastEnd() (endedAt time.Time, none bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endedAt, s.active == 0
}

func newInstallation(o options, stop plannedStop) (*installation, error) {
	if err := os.RemoveAll(o.Folder); err != nil {
		return nil, err
	}
	in := &installation{options: o, stop: stop}
	for i := 1; i <= controlNodeCount; i++ {
		in.members = append(in.members, &member{name: fmt.Sprint("control-", i), program: "moorspool-fleet-control", host: i, control: true})
	}
	for i := 1; i <= o.Gateways; i++ {
		in.members = append(in.members, &member{name: fmt.Sprint("gateway-", i), program: "moorspool-fleet-gateway", host: gatewayHostOffset + i})
	}
	if err := os.MkdirAll(o.Folder, 0o755); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(o.Folder, "replicas.log"))
	if err != nil {
		return nil, err
	}
	in.replicaLog = log
	for _, m := range in.members {
		if err := in.prepare(m); err != nil {
			return nil, err
		}
	}
	return in, nil
}

// The ports of each process, counted from the configured first port.
func (in *installation) peerPort() int  { return in.options.Port }
func (in *installation) callPort() int  { return in.options.Port + 1 }
func (in *installation) readyPort() int { return in.options.Port + 2 }
func (in *installation) adminPort() int { return in.options.Port + 3 }

// forwardPort is where gateways take requests of other gateways.
func (in *installation) forwardPort() int { return in.options.Port + 4 }

func (in *installation) proxyAddress(m *member, port int) string {
	return fmt.Sprintf("%s%d:%d", proxyNet, m.host, port)
}

func (in *installation) processAddress(m *member, port int) string {
	return fmt.Sprintf("%s%d:%d", processNet, m.host, port)
}

func (in *installation) prepare(m *member) error {
	folder := filepath.Join(in.options.Folder, m.name)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	m.folder = filepath.Join(folder, "data")
	m.settingsFile = filepath.Join(folder, "settings.yaml")
	log, err := os.Create(filepath.Join(folder, "log"))
	if err != nil {
		return err
	}
	m.log = log
	for _, port := range []int{in.peerPort(), in.callPort(), in.readyPort(), in.adminPort()} {
		if err := checkAddressFree(in.processAddress(m, port)); err != nil {
			return err
		}
	}
	ports := []int{in.peerPort(), in.callPort()}
	if !m.control {
		ports = append(ports, in.forwardPort())
	}
	for _, port := range ports {
		p, err := newProxy(in.proxyAddress(m, port), in.processAddress(m, port))
		if err != nil {
			return err
		}
		m.proxies = append(m.proxies, p)
	}
	return in.writeSettings(m, true)
}

// checkAddressFree returns an error if an address is in use: processes left behind by an earlier run
// would be mistaken for this run's.
func checkAddressFree(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "another run is under way or left processes behind")
	}
	return listener.Close()
}

// writeSettings writes a member's settings file. bootstrap allows a control node to found a new
// cluster.
func (in *installation) writeSettings(m *member, bootstrap bool) error {
	var seeds []string
	for i := 1; i <= seedCount; i++ {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s%d:%d", proxyNet, i, in.callPort())))
	}
	quota := fmt.Sprintf("quota: {window: %s, overage: %v, slack: %d}\n", quotaWindow, quotaOverage, quotaSlack)
	text := fmt.Sprintf("node: %s\nzone: zone-%d\naddress: %s%d\nlisten: %s%d\npeerPort: %d\nadminPort: %d\nseeds: [%s]\nmemoryMB: %d\n",
		m.name, m.host%3, proxyNet, m.host, processNet, m.host, in.peerPort(), in.adminPort(), strings.Join(seeds, ", "), maxMemoryMB)
	if m.control {
		text += fmt.Sprintf("calls: %s\nfolder: %s\nfound: %v\ntolerance: %d\nheartbeat: 500ms\nlease: 1s\n"+quota, in.processAddress(m, in.callPort()), m.folder, bootstrap, tolerance)
	} else {
		text += fmt.Sprintf("clients: %s\nready: %s\nforwardPort: %d\nstopLimit: %s\nbalancerLag: %s\nretry: {ratio: 0.2, extra: 50, window: 10s}\ntrust: %s\n"+quota, in.processAddress(m, in.callPort()), in.processAddress(m, in.readyPort()), in.forwardPort(), in.stop.limit, in.stop.balancerLag, trustPeriod)
	}
	return os.WriteFile(m.settingsFile, []byte(text), 0o644)
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
	command := exec.Command(in.program(m), "-c", m.settingsFile)
	command.Stdout = m.log
	command.Stderr = m.log
	if err := command.Start(); err != nil {
		return err
	}
	m.process = command
	m.startCount++
	if m.startCount == 1 {
		m.firstStartedAt = time.Now()
	}
	m.exitExpected = false
	m.servesSince = time.Time{}
	m.ended = make(chan struct{})
	ended := m.ended
	go in.logWhenServing(m, ended)
	go func() {
		_ = command.Wait()
		m.mu.Lock()
		if !m.exitExpected && m.process == command {
			m.unexpectedExits++
			m.unexpectedExit = command.ProcessState.String()
		}
		if m.process == command {
			m.servesSince = time.Time{}
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
		m.exitExpected = true
	}
	if m.process != nil && m.process.Process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// waitForExit waits for the process to exit and reports whether it did within the limit.
func (m *member) waitForExit(limit time.Duration) bool {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended == nil {
		return true // it was never started
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// beginFault marks a member as faulty until endFault is called.
func (m *member) beginFault() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faultActive = true
}

// tryBeginFault marks a member as faulty unless it is.
func (m *member) tryBeginFault() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faultActive {
		return false
	}
	m.faultActive = true
	return true
}

func (m *member) endFault() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faultActive = false
	m.faultFreeSince = time.Now()
}

// state returns how often the member was started and since when it has been free of faults, the zero
// time while a fault is active. A member that never had one has been free of them since its start.
func (m *member) state() (startCount int, faultFreeSince time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faultActive {
		return m.startCount, time.Time{}
	}
	if m.faultFreeSince.IsZero() {
		return m.startCount, m.firstStartedAt
	}
	return m.startCount, m.faultFreeSince
}

// lastFault returns whether a fault is active, and when the last one ended, the zero time if there was
// none.
func (m *member) lastFault() (active bool, endedAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faultActive, m.faultFreeSince
}

func (in *installation) controlNodes() []*member { return in.members[:controlNodeCount] }

func (in *installation) gatewayNodes() []*member { return in.members[controlNodeCount:] }

// controlFaultFreeSince returns since when all control nodes and their disks have been free of
// faults, the zero time while one is not.
func (in *installation) controlFaultFreeSince() time.Time {
	latest, none := in.disks.lastEnd()
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

// shutDownOnSignal kills the run's processes when the run itself receives a termination signal.
func (in *installation) shutDownOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	<-signals
	in.shutDown()
	os.Exit(1)
}

// shutDown kills the processes that this run started, and no others.
func (in *installation) shutDown() {
	for _, m := range in.members {
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
	}
	for _, m := range in.members {
		m.waitForExit(5 * time.Second)
		for _, p := range m.proxies {
			p.close()
		}
		_ = m.log.Close()
	}
}
