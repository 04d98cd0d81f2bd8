//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// The dose of the disruption: three servers of five spoil 3 in 100 of their answers, for a time, more than once.
const (
	runawayServers = 5
	runawayFaulty  = 3
	runawayEvery   = 34
	runawayTime    = 5 * time.Second
	runawayPeriods = 3
	runawayRest    = 5 * time.Second
	runawayRate    = 100
	// linkChunk is sent in each linkStep: 1,000 Mbit a second.
	linkChunk = 1_250_000
	linkStep  = 10 * time.Millisecond
	// restartDelay is how long the platform waits before it starts a process that it has killed.
	restartDelay = 500 * time.Millisecond
	// endsPerMachine and machinesEnding are the bounds of the rule.
	endsPerMachine = 3
	machinesEnding = 2
)

// runawayHandler answers like a sound server, but for some requests it sends bytes that are no answer for as long
// as the connection is open.
func (s *server) runawayHandler(faulty *atomic.Bool) http.Handler {
	var answers atomic.Int64
	garbage := bytes.Repeat([]byte("x"), linkChunk)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !faulty.Load() || answers.Add(1)%runawayEvery != 0 {
			s.serve(w, r)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		sent, began := 0, time.Now()
		for {
			n, err := conn.Write(garbage)
			sent += n
			if err != nil {
				break
			}
			time.Sleep(time.Until(began.Add(time.Duration(sent/linkChunk) * linkStep)))
		}
		s.in.record.add("server %s sent %d MB that are no answer to request %s until the connection closed", s.id, sent/1_000_000, r.Header.Get("X-Attempt-Id"))
	})
}

// residentMB returns the memory of a process in megabytes, 0 if it has ended.
func residentMB(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes / 1024
		}
	}
	return 0
}

// enforceMemory does what the platform does with a process that goes over its memory: it kills it, and starts it
// again after a short delay. It counts the ends.
func (in *installation) enforceMemory(p *process, limit int, ends *atomic.Int64, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		p.mu.Lock()
		pid, ended := p.command.Process.Pid, p.ended
		p.mu.Unlock()
		used := residentMB(pid)
		if used <= limit {
			continue
		}
		p.signal(syscall.SIGKILL)
		<-ended
		in.record.add("%s has %d MB of its %d MB: the platform kills it, for the %d. time", p.name, used, limit, ends.Add(1))
		time.Sleep(restartDelay)
		if err := in.start(p); err != nil {
			in.record.add("%s could not be started again: %s", p.name, err)
			return
		}
	}
}

// runRunaway lets servers send bytes that are no answer.
func runRunaway(in *installation, o options) (bool, error) {
	if err := in.startAll(restartedConfiguration()); err != nil {
		return false, err
	}
	var faulty, sound atomic.Bool
	for i := range runawayServers {
		s := &server{in: in, id: fmt.Sprint("i-desk-", i+1), address: fmt.Sprintf("%s%d:%d", in.network, 51+i, in.ports.clients), zone: zones[i%len(zones)],
			service: restartedService, work: 60 * time.Millisecond, controls: in.controls, born: time.Now().UnixMilli(), state: "ready"}
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return false, err
		}
		fault := &sound
		if i < runawayFaulty {
			fault = &faulty
		}
		s.http = &http.Server{Handler: s.runawayHandler(fault)}
		defer s.http.Close()
		go func() { _ = s.http.Serve(listener) }()
		go s.sendHeartbeats()
	}
	if err := in.awaitReady(); err != nil {
		return false, err
	}
	done := make(chan struct{})
	defer close(done)
	ends := make([]atomic.Int64, len(in.gateways))
	for i, g := range in.gateways {
		go in.enforceMemory(g, gatewayMemoryMB, &ends[i], done)
	}
	time.Sleep(contactTime)
	l := newLoad(in, restartedPath)
	l.steady(runawayRate, 3*time.Second)
	for range runawayPeriods {
		faulty.Store(o.trouble)
		l.steady(runawayRate, runawayTime)
		faulty.Store(false)
		l.steady(runawayRate, runawayRest)
	}
	attempts := l.end()
	counts := map[int]int{}
	for _, a := range attempts {
		counts[a.status]++
	}
	in.record.add("requests by status (0 is no answer): %v", counts)
	machines := 0
	for i, g := range in.gateways {
		in.record.add("%s was killed %d times for its memory", g.name, ends[i].Load())
		if ends[i].Load() >= endsPerMachine {
			machines++
		}
	}
	return machines >= machinesEnding, nil
}
