//go:build review

package main

import (
	"errors"
	"fmt"
	"time"
)

// The figures of the case.
const (
	restartedService = "desk"
	restartedPath    = "/book/1"
	restartedWork    = 300 * time.Millisecond
	// endLater is how much longer than the drain time a server serves after its notice.
	endLater = 500 * time.Millisecond
	// Requests come in waves: so many, within a time, with a rest in which all are answered. nextWave is how
	// much later than the drain time after the last notice the next wave begins.
	waveSize = 24
	waveTime = 600 * time.Millisecond
	waveRest = 700 * time.Millisecond
	nextWave = 300 * time.Millisecond
	// lateSlack is how much later than the bound a request must have been sent to count.
	lateSlack = 100 * time.Millisecond
)

func restartedConfiguration() []byte {
	return mustJSON(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{"name": "book", "hostname": hostName, "path_prefix": "/book/", "route_kind": "unsafe", "timeout_ms": 4000,
			"target_latency_ms": 1000, "priority": 1, "service": restartedService, "max_attempts": 1}},
		"services": []any{map[string]any{"name": restartedService, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// runRestarted lets a backend server leave as planned, start again under its ID and leave as planned again.
// Each notice goes to another control node than the heartbeats. Without the disruption, the second start has
// an ID of its own.
func runRestarted(in *installation, o options) (bool, error) {
	if err := in.startAll(restartedConfiguration()); err != nil {
		return false, err
	}
	address := func(host int) string { return fmt.Sprintf("%s%d:%d", in.network, host, in.ports.clients) }
	first, second := in.controls[0], in.controls[1]
	order := []*process{in.controls[0], in.controls[1], in.controls[2]}
	if _, err := startServer(in, "i-steady", address(51), zones[1], restartedService, 20*time.Millisecond, order); err != nil {
		return false, err
	}
	leaver, err := startServer(in, "i-leaver", address(52), zones[0], restartedService, restartedWork, order)
	if err != nil {
		return false, err
	}
	if err := in.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	l := newLoad(in, restartedPath)
	l.wave(waveSize, waveTime)
	time.Sleep(waveRest)
	if len(leaver.arrived()) == 0 {
		return false, errors.New("the server got no request before it left")
	}
	if at := leaver.deregister(first); at.IsZero() {
		return false, errors.New("the first notice was not acknowledged")
	}
	time.Sleep(drainTime + endLater)
	leaver.end()
	l.wave(waveSize, waveTime)
	time.Sleep(waveRest)

	name := "i-leaver"
	if !o.trouble {
		name = "i-leaver-2"
	}
	again, err := startServer(in, name, address(52), zones[0], restartedService, restartedWork, order)
	if err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	l.wave(waveSize, waveTime)
	time.Sleep(waveRest)
	if len(again.arrived()) == 0 {
		return false, errors.New("the server got no request after its second start")
	}
	acknowledged := again.deregister(second)
	if acknowledged.IsZero() {
		return false, errors.New("the second notice was not acknowledged")
	}
	time.Sleep(time.Until(acknowledged.Add(drainTime + nextWave)))
	go func() {
		time.Sleep(time.Until(acknowledged.Add(drainTime + endLater)))
		again.end()
	}()
	l.wave(waveSize, waveTime)
	time.Sleep(time.Until(acknowledged.Add(drainTime + endLater + time.Second)))
	return judgeDrain(in, l.end(), again, acknowledged), nil
}

// judgeDrain reports whether requests that clients sent later than the drain time after the acknowledgement
// reached the server, and writes down what became of them.
func judgeDrain(in *installation, attempts map[string]*attempt, s *server, acknowledged time.Time) bool {
	late, lost := 0, 0
	for _, arrived := range s.arrived() {
		a := attempts[arrived.id]
		if a == nil || !a.sentAt.After(acknowledged.Add(drainTime+lateSlack)) {
			continue
		}
		late++
		if a.status != 200 {
			lost++
		}
		in.record.add("request %s by way of %s: sent at %s, %.3f s after the acknowledgement, reached %s at %s; the client got status %d %s",
			a.id, a.gateway, in.record.at(a.sentAt), a.sentAt.Sub(acknowledged).Seconds(), s.id, in.record.at(arrived.at), a.status, a.err)
	}
	counts := map[int]int{}
	for _, a := range attempts {
		counts[a.status]++
	}
	in.record.add("requests by status (0 is no answer): %v", counts)
	in.record.add("%d requests sent later than %s after the acknowledgement reached the server; %d of them ran and ended without their answer", late, drainTime+lateSlack, lost)
	return late > 0
}
