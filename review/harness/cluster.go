//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The ports of each process. Every process has a loopback address of its own.
const (
	clientPort  = 8149
	readyPort   = 8141
	controlPort = 8144
	replicaPort = 8500
)

var zoneNames = []string{"msasani", "kariakoo", "ubungo"}

// bounds are those of the deployment kilima-hq.
var bounds = map[string]any{
	"seed_lag_s": 3, "address_reuse_s": 2, "contact_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
	"grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_extension_ms": 5000,
	"retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_extra": 52, "recovery_s": 12, "pass_ms": 120,
	"retry_after_s": 0, "fencing_enforced": true, "lease_ms": 3000, "thaw_ms": 300, "ceiling_window_s": 5, "origin_rate_overage": 1.1,
}

// cluster is the deployment of a case.
type cluster struct {
	network  string
	folder   string
	controls []*node
	gateways []*node
	replicas []*replica
	client   *http.Client
}

// node is one machine with its process.
type node struct {
	cluster *cluster
	name    string
	role    role
	ip      string
	zone    string
	control bool
	first   bool

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

func newCluster() *cluster {
	folder, err := os.MkdirTemp("", "moorspool-review-")
	check(err)
	c := &cluster{folder: folder, client: &http.Client{Timeout: time.Second}}
	for range 50 {
		c.network = fmt.Sprintf("127.%d.%d.", 40+rand.IntN(80), 1+rand.IntN(250))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s1:%d", c.network, controlPort))
		if err == nil {
			_ = listener.Close()
			return c
		}
	}
	cannotRun("no free loopback addresses")
	return nil
}

// start starts control nodes and gateways, all within 0.3 s.
func (c *cluster) start(controls, gateways int) {
	for i := range controls {
		c.controls = append(c.controls, &node{cluster: c, name: fmt.Sprintf("core-%d", i+1), role: readRole("control"), ip: fmt.Sprintf("%s%d", c.network, i+1), zone: zoneNames[i%3], control: true, first: true})
	}
	for i := range gateways {
		c.gateways = append(c.gateways, &node{cluster: c, name: fmt.Sprintf("frontend-%d", i+1), role: readRole("gateway"), ip: fmt.Sprintf("%s%d", c.network, i+11), zone: zoneNames[i%3], first: true})
	}
	for _, n := range append(append([]*node{}, c.controls...), c.gateways...) {
		n.start()
	}
}

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// fields are the settings that the platform gives to the process.
func (n *node) fields() map[string]any {
	var seeds []string
	for i, other := range n.cluster.controls {
		if i < 3 {
			seeds = append(seeds, other.address(controlPort))
		}
	}
	zones := map[string]string{}
	for _, zone := range zoneNames {
		zones[zone] = "dar-central"
	}
	fields := map[string]any{
		"node_name": n.name, "ip": n.ip, "zone": n.zone, "region": "dar-central", "zones": zones,
		"internal_port_range": []int{7380, 7395}, "seed_nodes": seeds, "bootstrap": n.first, "heartbeat_interval_ms": 1200,
		"limits":          map[string]any{"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": 284, "file_descriptors": 4100, "link_mbps": 1000.0},
		"fault_tolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0},
		"bounds":          bounds,
	}
	if n.control {
		fields["data_directory"] = filepath.Join(n.cluster.folder, n.name, "data")
		fields["listen_addresses"] = map[string]any{"control_plane": n.address(controlPort)}
	} else {
		fields["listen_addresses"] = map[string]any{"frontend": n.address(clientPort), "ready": n.address(readyPort)}
	}
	return fields
}

// start starts the process with the command of the deploy file.
func (n *node) start() {
	folder := filepath.Join(n.cluster.folder, n.name)
	check(os.MkdirAll(folder, 0o755))
	settings := filepath.Join(folder, "settings.yaml")
	check(os.WriteFile(settings, []byte(fill(n.role.template, n.fields())), 0o644))
	n.first = false
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	defer log.Close()
	command := exec.Command(n.role.run[0], n.role.run[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MOORSPOOL_CONFIG=" + settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(command.Start())
	ended := make(chan struct{})
	n.mu.Lock()
	n.process, n.ended = command, ended
	n.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	record.write("%s started", n.name)
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	record.write("%s gets signal %v", n.name, s)
	_ = n.process.Process.Signal(s)
}

// awaitEnd waits until the process has ended.
func (n *node) awaitEnd() {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	<-ended
}

// stop ends everything that the case has started.
func (c *cluster) stop() {
	for _, n := range append(append([]*node{}, c.controls...), c.gateways...) {
		n.mu.Lock()
		process, ended := n.process, n.ended
		n.mu.Unlock()
		if process == nil {
			continue
		}
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		<-ended
	}
	for _, r := range c.replicas {
		r.crash()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println("logs:", c.folder)
	}
}

// call makes a call to a control node and returns the status, 0 without an answer.
func (c *cluster) call(n *node, method, path string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+n.address(controlPort)+path, bytes.NewReader(body))
	check(err)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, answer
}

// putConfiguration sends a configuration until it is acknowledged, to one control node after the other.
func (c *cluster) putConfiguration(configuration map[string]any) time.Time {
	body, err := json.Marshal(configuration)
	check(err)
	for i := range 200 {
		n := c.controls[i%len(c.controls)]
		status, _ := c.call(n, http.MethodPut, "/-/configuration", body)
		if status == http.StatusOK {
			at := time.Now()
			record.write("operator: version %v acknowledged by %s", configuration["version"], n.name)
			return at
		}
		time.Sleep(50 * time.Millisecond)
	}
	cannotRun("the configuration was not acknowledged")
	return time.Time{}
}

// awaitReady waits until all gateways are ready.
func (c *cluster) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range c.gateways {
		for {
			response, err := c.client.Get("http://" + n.address(readyPort) + "/-/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				cannotRun("%s did not become ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	record.write("all gateways are ready")
}
