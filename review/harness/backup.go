//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["backup"] = backup }

const (
	// The engine is that of kilima-hq with longer streams: 64 requests at once, two tokens in an event.
	backupSlots  = 64
	backupQueue  = 134
	backupEvents = 150
	backupPace   = 40 * time.Millisecond
	backupCount  = 12
	// otherReplicas hold another model: one of nine replicas crashes and one is replaced.
	otherReplicas = 6
	// A leaving replica serves for drain_ms after the acknowledgement and a little longer.
	drainTime  = 2 * time.Second
	lingerTime = time.Second
	// crashAfterDrain is when the other replica crashes after the draining was acknowledged.
	crashAfterDrain = 2500 * time.Millisecond
)

// backup crashes a replica while the one that keeps copies of its runs is draining.
func backup(c *cluster) bool {
	c.start(3, 2)
	models := []map[string]any{{"name": "daka510000", "weights_mb": 72700.0, "load_s": 9.0, "adapters": 0, "adapter_mb": 66.0, "warm_s": 0.81, "disk_s": 2.3}}
	configured := append(append([]map[string]any{}, models...), map[string]any{"name": "daka510001", "weights_mb": 72700.0, "load_s": 9.0, "adapters": 0, "adapter_mb": 66.0, "warm_s": 0.81, "disk_s": 2.3})
	c.putConfiguration(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "form-recheck", "hostname": "census.example", "path_prefix": "/recheck/", "route_kind": "streaming", "timeout_ms": 20000,
			"target_latency_ms": 8000, "target_gap_ms": 400, "priority": 2, "service": "form-readers", "max_attempts": 2, "session_affinity": true, "resumable": true,
		}},
		"services": []map[string]any{{
			"name": "form-readers", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": backupSlots, "kv_cache_tokens": 132029, "kv_bytes": 163840.0, "link_mbps": 280000.0, "moves": true, "backups": true, "stride": 2,
				"maximum": 12, "host_mb": 150000.0, "disk_mb": 440000.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
				"models": configured, "weights_mb": 220000.0, "adapter_slots": 8, "loads_per_s": 1.4,
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	var mu sync.Mutex
	late := 0
	add := func(id string) *replica {
		e := newEngine(backupSlots, backupQueue, backupEvents, backupPace)
		e.onArrival = func(r *replica, request *http.Request) {
			since := r.drainedFor()
			record.write("replica %s: gets %s, copy kept at %q, continues from %q after event %q", r.id, request.Header.Get("X-Attempt-Id"), request.Header.Get("X-Kv-Backup"), request.Header.Get("Kv-From"), request.Header.Get("Last-Event-Id"))
			if since > drainTime {
				record.write("DRAIN: %s got %s %d ms after its draining was acknowledged", r.id, request.Header.Get("X-Attempt-Id"), since.Milliseconds())
				mu.Lock()
				late++
				mu.Unlock()
			}
		}
		r := c.addReplica(id, "form-readers", backupSlots, []map[string]any{{"name": "daka510000", "version": 1, "adapters": []string{}}}, e.handle)
		return r
	}
	crashing, leaving := add("i-a"), add("i-b")
	for n := range otherReplicas {
		c.addReplica(fmt.Sprintf("i-other-%d", n+1), "form-readers", backupSlots, []map[string]any{{"name": "daka510001", "version": 1, "adapters": []string{}}}, newEngine(backupSlots, backupQueue, backupEvents, backupPace).handle)
	}
	c.awaitReady()
	time.Sleep(3 * time.Second)

	var attempts []*attempt
	var requests sync.WaitGroup
	for n := range backupCount {
		requests.Add(1)
		go func() {
			defer requests.Done()
			headers := map[string]string{
				"X-Model": "daka510000", "X-Token-Counts": "1800,300", "X-Length-Hint": "300",
				"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:568,%x:1232", 0xa0000000+n),
			}
			a := send(c.gateways[n%2], fmt.Sprintf("a-%04d", n), "POST", "census.example", "/recheck/x", headers, 20*time.Second)
			record.write("%s", a.describe())
			mu.Lock()
			defer mu.Unlock()
			attempts = append(attempts, a)
		}()
	}
	time.Sleep(700 * time.Millisecond)
	// A release: the new replica starts first, then the old one drains.
	add("i-c")
	time.Sleep(500 * time.Millisecond)
	leaving.drain()
	time.Sleep(crashAfterDrain)
	if trouble {
		crashing.crash()
	} else {
		record.write("replica %s would crash now", crashing.id)
	}
	time.Sleep(drainTime + lingerTime - crashAfterDrain)
	leaving.deregister()
	leaving.crash()
	requests.Wait()
	whole := 0
	for _, a := range attempts {
		if a.complete && a.status == 200 && len(a.events) == backupEvents {
			whole++
		}
	}
	record.print("%d streams: %d whole, %d not; %d requests reached the draining replica later than drain_ms after the acknowledgement", len(attempts), whole, len(attempts)-whole, late)
	return late == 0
}
