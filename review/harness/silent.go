//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["silent"] = silent }

const (
	// The engine is that of kilima-hq with slower events: 64 requests at once.
	silentSlots   = 64
	silentQueue   = 134
	silentEvents  = 20
	silentPace    = 450 * time.Millisecond
	silentBacklog = 16
	// A replica may fall silent for a second or so.
	silentTime = 1400 * time.Millisecond
	// Streams that begin before and while the replica is silent.
	silentBefore      = 56
	silentBeforePause = 55 * time.Millisecond
	silentMeanwhile   = 64
	silentMeanPause   = 19 * time.Millisecond
	// stillAtWork is how long after a run went on elsewhere the earlier replica must not work on it.
	stillAtWork = 400 * time.Millisecond
)

// continuation is a run that went on at another replica.
type continuation struct {
	id string
	at time.Time
	by string
}

// silent lets a sound replica fall silent for a while, with a full queue of new connections.
func silent(c *cluster) bool {
	c.start(3, 2)
	models := []map[string]any{{"name": "daka510000", "weights_mb": 72700.0, "load_s": 9.0, "adapters": 0, "adapter_mb": 66.0, "warm_s": 0.81, "disk_s": 2.3}}
	c.putConfiguration(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "conflict-note", "hostname": "census.example", "path_prefix": "/note/", "route_kind": "streaming", "timeout_ms": 15000,
			"target_latency_ms": 800, "target_gap_ms": 500, "priority": 0, "service": "form-readers", "max_attempts": 1, "session_affinity": true, "resumable": false,
		}},
		"services": []map[string]any{{
			"name": "form-readers", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": silentSlots, "kv_cache_tokens": 132029, "kv_bytes": 163840.0, "link_mbps": 280000.0, "moves": true, "backups": true, "stride": 5,
				"maximum": 12, "host_mb": 150000.0, "disk_mb": 440000.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
				"models": models, "weights_mb": 220000.0, "adapter_slots": 8, "loads_per_s": 1.4,
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	var mu sync.Mutex
	var continued []continuation
	var engines []*engine
	add := func(id string) *replica {
		e := newEngine(silentSlots, silentQueue, silentEvents, silentPace)
		e.keepsOn = true
		e.onArrival = func(r *replica, request *http.Request) {
			if request.Header.Get("Kv-From") == "" {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			continued = append(continued, continuation{id: request.Header.Get("X-Attempt-Id"), at: time.Now(), by: r.id})
			record.write("replica %s: gets %s, continues from %q after event %q", r.id, request.Header.Get("X-Attempt-Id"), request.Header.Get("Kv-From"), request.Header.Get("Last-Event-Id"))
		}
		engines = append(engines, e)
		return c.addShortReplica(id, "form-readers", silentSlots, silentBacklog, []map[string]any{{"name": "daka510000", "version": 1, "adapters": []string{}}}, e.handle)
	}
	pausing := add("i-a")
	add("i-b")
	c.awaitReady()
	time.Sleep(3 * time.Second)

	var requests sync.WaitGroup
	whole, broken, failed := 0, 0, 0
	begin := func(n int) {
		requests.Add(1)
		go func() {
			defer requests.Done()
			headers := map[string]string{
				"X-Model": "daka510000", "X-Token-Counts": "1110,100", "X-Length-Hint": "100",
				"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:350,%x:760", 0xa0000000+n),
			}
			a := send(c.gateways[n%2], fmt.Sprintf("a-%04d", n), "POST", "census.example", "/note/x", headers, 15*time.Second)
			record.write("%s", a.describe())
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.complete && a.status == 200 && len(a.events) == silentEvents:
				whole++
			case a.status == 200:
				broken++
			default:
				failed++
			}
		}()
	}
	for n := range silentBefore {
		begin(n)
		time.Sleep(silentBeforePause)
	}
	if trouble {
		record.write("replica %s falls silent", pausing.id)
		pausing.silence.begin()
		time.AfterFunc(silentTime, func() {
			pausing.silence.end()
			record.write("replica %s goes on", pausing.id)
		})
	}
	for n := range silentMeanwhile {
		begin(silentBefore + n)
		time.Sleep(silentMeanPause)
	}
	requests.Wait()
	twice := 0
	for _, run := range continued {
		for i, e := range engines {
			if c.replicas[i].id == run.by {
				continue
			}
			e.mu.Lock()
			last := e.lastWork[run.id]
			e.mu.Unlock()
			if late := last.Sub(run.at); late > stillAtWork {
				twice++
				record.write("TWICE: %s went on at %s while %s was at work on it until %d ms later", run.id, run.by, c.replicas[i].id, late.Milliseconds())
			}
		}
	}
	record.print("%d streams whole, %d broken off, %d without a stream; %d runs went on elsewhere, %d of them while the earlier replica was at work", whole, broken, failed, len(continued), twice)
	return twice == 0
}
