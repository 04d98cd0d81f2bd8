//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["waiting"] = waiting }

const (
	// The engine is that of khonkh-spool-grown: 12 requests at once, streams of 28 events.
	waitingSlots  = 12
	waitingQueue  = 4
	waitingEvents = 28
	waitingPace   = 70 * time.Millisecond
	// The route is that sheet's library-redraft: an aim of 10 s and a deadline of 20 s.
	waitingDeadline = 20 * time.Second
	// Before and after the burst the load is what the two replicas can serve, 12 requests a second.
	waitingInterval = 83 * time.Millisecond
	// The burst is 4.15 times that for 3 s; the sheet's largest one of the route is 4.24 times for 3 s.
	burstInterval = 20 * time.Millisecond
	burstLength   = 3 * time.Second
	loadBefore    = 8 * time.Second
	loadAfter     = 9 * time.Second
)

// waiting stops one of two gateways with SIGTERM while requests wait in it for a place at a replica.
func waiting(c *cluster) bool {
	c.start(3, 2)
	models := []map[string]any{{"name": "daka510000", "weights_mb": 72700.0, "load_s": 5.8, "adapters": 0, "adapter_mb": 66.0, "warm_s": 0.81, "disk_s": 1.7}}
	c.putConfiguration(map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "library-redraft", "hostname": "scripts.example", "path_prefix": "/redraft/", "route_kind": "streaming", "timeout_ms": 20000,
			"target_latency_ms": 10000, "target_gap_ms": 200, "priority": 2, "service": "script-models", "max_attempts": 1, "session_affinity": true, "resumable": false,
		}},
		"services": []map[string]any{{
			"name": "script-models", "health_path": "/health", "max_connections": 610, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": waitingSlots, "kv_cache_tokens": 38142, "kv_bytes": 163840.0, "link_mbps": 280000.0, "moves": false, "backups": false, "stride": 10,
				"maximum": 12, "host_mb": 150000.0, "disk_mb": 440000.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
				"models": models, "weights_mb": 220000.0, "adapter_slots": 8, "loads_per_s": 2.1,
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	var engines []*engine
	for i := range 2 {
		e := newEngine(waitingSlots, waitingQueue, waitingEvents, waitingPace)
		engines = append(engines, e)
		c.addReplica(fmt.Sprintf("i-%d", i+1), "script-models", waitingSlots, []map[string]any{{"name": "daka510000", "version": 1, "adapters": []string{}}}, e.handle)
	}
	c.awaitReady()
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var attempts []*attempt
	var requests sync.WaitGroup
	stopped := c.gateways[0]
	began := time.Now()
	var signalAt time.Time
	for n := 0; time.Since(began) < loadBefore+burstLength+loadAfter; n++ {
		if signalAt.IsZero() && time.Since(began) >= loadBefore+burstLength {
			signalAt = time.Now()
			if trouble {
				stopped.signal(syscall.SIGTERM)
			} else {
				record.write("%s would get SIGTERM now", stopped.name)
			}
		}
		gateway := c.gateways[n%2]
		if !signalAt.IsZero() {
			// The platform sends no new connections to a gateway that is not ready.
			gateway = c.gateways[1]
		}
		requests.Add(1)
		go func() {
			defer requests.Done()
			headers := map[string]string{
				"X-Model": "daka510000", "X-Token-Counts": "543,280", "X-Length-Hint": "280",
				"X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:172,%x:371", 0xa0000000+n),
			}
			a := send(gateway, fmt.Sprintf("a-%04d", n), "POST", "scripts.example", "/redraft/x", headers, waitingDeadline)
			record.write("%s", a.describe())
			mu.Lock()
			defer mu.Unlock()
			attempts = append(attempts, a)
		}()
		interval := waitingInterval
		if elapsed := time.Since(began); elapsed >= loadBefore && elapsed < loadBefore+burstLength {
			interval = burstInterval
		}
		time.Sleep(interval)
	}
	requests.Wait()
	return judgeWaiting(attempts, engines, stopped, signalAt)
}

// judgeWaiting applies the rule LOST to the requests of the stopped gateway.
func judgeWaiting(attempts []*attempt, engines []*engine, stopped *node, signalAt time.Time) bool {
	grace := 8 * time.Second
	whole, refused, excused, other, lost := 0, 0, 0, 0, 0
	for _, a := range attempts {
		switch {
		case a.complete && a.status == 200:
			whole++
			continue
		case a.complete:
			refused++
			continue
		}
		planned := a.gateway == stopped && a.endedAt.After(signalAt) && a.endedAt.Before(signalAt.Add(grace+time.Second))
		inTime := a.endedAt.Sub(a.sentAt) < waitingDeadline-500*time.Millisecond
		ran := false
		for _, e := range engines {
			began, _ := e.ran(a.id)
			ran = ran || began
		}
		lastSixth := a.endedAt.After(signalAt.Add(grace * 5 / 6))
		switch {
		case !planned || !inTime || a.endedAt.Sub(a.sentAt) <= 200*time.Millisecond:
			other++
		case ran && lastSixth:
			// The replica was still at work in the last sixth of the grace time.
			excused++
		default:
			lost++
			record.write("LOST: %s was sent %d ms before the signal, reached no replica: %v, and got no answer by %d ms after the signal", a.id, signalAt.Sub(a.sentAt).Milliseconds(), !ran, a.endedAt.Sub(signalAt).Milliseconds())
		}
	}
	record.print("%d requests: %d served whole, %d refused, %d broken off while their replica was at work at the end of the grace time, %d otherwise unanswered, %d LOST", len(attempts), whole, refused, excused, other, lost)
	return lost == 0
}
