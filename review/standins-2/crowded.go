//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	crowdedService = "readers"
	crowdedPath    = "/gen/1"
	crowdedLimit   = 360
	// preemption is how long a preempted run waits; clients give a stream up after two seconds.
	preemption = 1300 * time.Millisecond
	// workOverlap is how much longer the earlier engine must still be at work.
	workOverlap = 400 * time.Millisecond
)

func crowdedConfiguration() []byte {
	return mustJSON(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{"name": "note", "hostname": hostName, "path_prefix": "/gen/", "route_kind": "streaming", "timeout_ms": 15000,
			"target_latency_ms": 800, "target_gap_ms": 400, "priority": 2, "service": crowdedService, "max_attempts": 1, "session_affinity": true, "resumable": false}},
		"services": []any{map[string]any{"name": crowdedService, "health_path": "/health", "max_connections": crowdedLimit, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_cache_tokens": 132029, "kv_bytes": 163840, "link_mbps": 280000.0, "moves": true, "backups": true, "stride": tokensPerEvent,
				"maximum": 12, "host_mb": 150000.0, "disk_mb": 440000.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
				"models":     []any{map[string]any{"name": engineModel, "weights_mb": 72700.0, "load_s": 9.0, "adapters": 0, "adapter_mb": 66.0, "warm_s": 0.81, "disk_s": 2.3}},
				"weights_mb": 220000.0, "adapter_slots": 8, "loads_per_s": 1.4}}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// runCrowded preempts the streams of an engine for a moment while it has all the connections that it accepts.
// Without the disruption it accepts further ones.
func runCrowded(in *installation, o options) (bool, error) {
	if err := in.startAll(crowdedConfiguration()); err != nil {
		return false, err
	}
	copies := &memoryCopies{copies: map[string]bool{}}
	var engines []*engine
	for i := range 3 {
		e, err := startEngine(in, fmt.Sprint("i-engine-", i+1), fmt.Sprintf("%s%d:%d", in.network, 51+i, in.ports.clients), zones[i], crowdedService, crowdedLimit, copies)
		if err != nil {
			return false, err
		}
		defer e.close()
		engines = append(engines, e)
	}
	if err := in.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * contactTime)

	const streams = 6
	var work sync.WaitGroup
	for i := range streams {
		work.Add(1)
		go func() {
			defer work.Done()
			id := fmt.Sprintf("%016x", 0x7000+i)
			events, err := readStream(in, in.gateways[i%len(in.gateways)], id, 400)
			in.record.add("client: stream %s brought %d of 200 events, error %v", id, events, err)
		}()
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	busiest := engines[0]
	for _, e := range engines {
		if len(e.allRuns()) > len(busiest.allRuns()) {
			busiest = e
		}
	}
	if len(busiest.allRuns()) == 0 {
		return false, errors.New("no engine runs a stream")
	}
	crowd, leave := context.WithTimeout(context.Background(), 3*time.Second)
	defer leave()
	if o.trouble {
		if err := busiest.crowd(crowd); err != nil {
			return false, err
		}
	}
	busiest.preempt(preemption)
	work.Wait()
	time.Sleep(time.Second)
	return judgeTwice(in, engines), nil
}

// judgeTwice reports whether a request went on at an engine while the earlier one was still at work.
func judgeTwice(in *installation, engines []*engine) bool {
	var runs []engineRun
	for _, e := range engines {
		runs = append(runs, e.allRuns()...)
	}
	twice := 0
	for _, run := range runs {
		in.record.add("engine %s ran %s from %s to %s, %d events, continued from %q", run.engine, run.id, in.record.at(run.began), in.record.at(run.ended), len(run.events), run.from)
		for _, earlier := range runs {
			if earlier.id != run.id || earlier.engine == run.engine || !earlier.began.Before(run.began) {
				continue
			}
			after := 0
			for _, at := range earlier.events {
				if at.After(run.began.Add(workOverlap)) {
					after++
				}
			}
			if after == 0 {
				continue
			}
			twice++
			in.record.add("request %s went on at %s at %s; %s made %d events later than %s after that", run.id, run.engine, in.record.at(run.began), earlier.engine, after, workOverlap)
		}
	}
	in.record.add("%d requests went on at another engine while the earlier one was at work", twice)
	return twice > 0
}

// readStream reads a stream to its end and returns the number of its events.
func readStream(in *installation, g *process, id string, tokens int) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	address := in.clientAddress(g)
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	}, DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hostName+crowdedPath, strings.NewReader(id))
	if err != nil {
		return 0, err
	}
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "15000")
	request.Header.Set("X-Model", engineModel)
	request.Header.Set("X-Token-Counts", fmt.Sprintf("1460,%d", tokens))
	request.Header.Set("X-Prompt-Prefix", "5c1e07a2:350,"+id+":1110")
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", response.StatusCode)
	}
	events := 0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
		}
	}
	return events, lines.Err()
}
