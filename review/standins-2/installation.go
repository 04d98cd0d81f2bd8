//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The figures of a small deployment.
const (
	heartbeatInterval = 1200 * time.Millisecond
	drainTime         = 2 * time.Second
	contactTime       = 3 * time.Second
	controlMemoryMB   = 280
	gatewayMemoryMB   = 284
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// process is one program of the installation.
type process struct {
	name     string
	program  string
	host     string
	settings string
	folder   string
	zone     string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// installation is the system under test.
type installation struct {
	folder   string
	programs string
	network  string
	ports    ports
	controls []*process
	gateways []*process
	record   *record
	trust    string
}

// ports are the same on all hosts.
type ports struct{ peer, forward, calls, clients, ready, admin int }

// newInstallation prepares three control nodes and a number of gateways.
func newInstallation(folder, programs string, gateways int, r *record) (*installation, error) {
	in := &installation{folder: folder, programs: programs, record: r, network: fmt.Sprintf("127.%d.%d.", 60+os.Getpid()%100, 1+os.Getpid()/100%250), trust: "0ms"}
	free, err := freePorts(6)
	if err != nil {
		return nil, err
	}
	in.ports = ports{free[0], free[1], free[2], free[3], free[4], free[5]}
	for i := range 3 {
		in.controls = append(in.controls, in.newProcess(fmt.Sprint("core-", i+1), "moorspool-fleet-control", i+1, zones[i]))
	}
	for i := range gateways {
		in.gateways = append(in.gateways, in.newProcess(fmt.Sprint("frontend-", i+1), "moorspool-fleet-gateway", 11+i, zones[i%len(zones)]))
	}
	for _, p := range append(append([]*process{}, in.controls...), in.gateways...) {
		if err := in.writeSettings(p); err != nil {
			return nil, err
		}
	}
	return in, nil
}

// freePorts returns ports that are free now.
func freePorts(count int) ([]int, error) {
	var found []int
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		found = append(found, listener.Addr().(*net.TCPAddr).Port)
	}
	return found, nil
}

func (in *installation) newProcess(name, program string, host int, zone string) *process {
	p := &process{name: name, program: filepath.Join(in.programs, program), host: fmt.Sprint(in.network, host), zone: zone}
	p.folder = filepath.Join(in.folder, name)
	p.settings = filepath.Join(p.folder, "node.yaml")
	return p
}

// writeSettings writes what the platform makes of the project's templates.
func (in *installation) writeSettings(p *process) error {
	if err := os.MkdirAll(filepath.Join(p.folder, "data"), 0o755); err != nil {
		return err
	}
	var seeds []string
	for _, c := range in.controls {
		seeds = append(seeds, fmt.Sprintf("%q", in.callAddress(c)))
	}
	text := fmt.Sprintf("node: %q\nzone: %q\naddress: %q\npeerPort: %d\nadminPort: %d\nseeds: [%s]\nzones: {zone-a: region-1, zone-b: region-1, zone-c: region-1}\n",
		p.name, p.zone, p.host, in.ports.peer, in.ports.admin, strings.Join(seeds, ", "))
	if strings.HasSuffix(p.program, "control") {
		text += fmt.Sprintf("memoryMB: %d\ncalls: %q\nfolder: %q\nfound: true\ntolerance: 1\nresendOrders: 4000ms\nheartbeat: 1200ms\nlease: 3000ms\nstore: {window: 5s, overage: 1.1}\n",
			controlMemoryMB, in.callAddress(p), filepath.Join(p.folder, "data"))
	} else {
		text += fmt.Sprintf("memoryMB: %d\nforwardPort: %d\nclients: %q\nready: %q\nstopLimit: 8s\nbalancerLag: 3s\nretry: {ratio: 0.2, extra: 52, window: 10s}\ntrust: %s\n",
			gatewayMemoryMB, in.ports.forward, in.clientAddress(p), in.address(p, in.ports.ready), in.trust)
	}
	return os.WriteFile(p.settings, []byte(text), 0o644)
}

func (in *installation) address(p *process, port int) string {
	return fmt.Sprintf("%s:%d", p.host, port)
}

func (in *installation) callAddress(p *process) string { return in.address(p, in.ports.calls) }

func (in *installation) clientAddress(p *process) string { return in.address(p, in.ports.clients) }

// start starts a process and keeps what it logs.
func (in *installation) start(p *process) error {
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(p.program, "-c", p.settings)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.command, p.ended = command, ended
	return nil
}

// signal sends a signal to a process that this run started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// startAll starts all processes and waits until the configuration is taken.
func (in *installation) startAll(configuration []byte) error {
	for _, p := range append(append([]*process{}, in.controls...), in.gateways...) {
		if err := in.start(p); err != nil {
			return err
		}
	}
	if !in.putUntilTaken(configuration, 15*time.Second) {
		return fmt.Errorf("the first configuration was not taken")
	}
	return nil
}

// awaitReady waits until every gateway is ready, which takes backend servers.
func (in *installation) awaitReady() error {
	for _, p := range in.gateways {
		if !waitFor(15*time.Second, func() bool { return in.ready(p) }) {
			return fmt.Errorf("%s is not ready", p.name)
		}
	}
	return nil
}

func (in *installation) ready(p *process) bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + in.address(p, in.ports.ready) + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// call makes one call to a control node, 0 if there was no answer.
func (in *installation) call(p *process, method, path string, body []byte, timeout time.Duration) int {
	request, err := http.NewRequest(method, "http://"+in.callAddress(p)+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// putUntilTaken sends a configuration to the control nodes in turn until one acknowledges it.
func (in *installation) putUntilTaken(configuration []byte, limit time.Duration) bool {
	next := 0
	return waitFor(limit, func() bool {
		p := in.controls[next%len(in.controls)]
		next++
		return in.call(p, http.MethodPut, "/-/configuration", configuration, 2*time.Second) == http.StatusOK
	})
}

// stopAll ends the processes that this run started.
func (in *installation) stopAll() {
	for _, p := range append(append([]*process{}, in.controls...), in.gateways...) {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range append(append([]*process{}, in.controls...), in.gateways...) {
		p.mu.Lock()
		ended := p.ended
		p.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
}

func waitFor(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); ; {
		if done() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// record is what a case writes down.
type record struct {
	mu      sync.Mutex
	file    *os.File
	began   time.Time
	problem []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, arguments...))
}

// at returns a moment as the record shows it.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.began).Seconds()) }

func mustJSON(value any) []byte {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return raw
}
