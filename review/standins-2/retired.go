//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	retiredService  = "readers"
	retiredWeightMB = 72700.0
	retiredRoomMB   = 220000.0
)

func retiredConfiguration(version int, models []string) []byte {
	var listed []any
	for _, name := range models {
		listed = append(listed, map[string]any{"name": name, "weights_mb": retiredWeightMB, "load_s": 2.0, "adapters": 0, "adapter_mb": 66.0, "warm_s": 0.81, "disk_s": 2.3})
	}
	return mustJSON(map[string]any{
		"version": version,
		"routes": []any{map[string]any{"name": "note", "hostname": hostName, "path_prefix": "/gen/", "route_kind": "safe", "timeout_ms": 15000,
			"target_latency_ms": 8000, "priority": 1, "service": retiredService, "max_attempts": 2, "session_affinity": true}},
		"services": []any{map[string]any{"name": retiredService, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_cache_tokens": 132029, "kv_bytes": 163840, "link_mbps": 280000.0, "moves": true, "backups": true, "stride": 2,
				"maximum": 12, "host_mb": 150000.0, "disk_mb": 440000.0, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
				"models": listed, "weights_mb": retiredRoomMB, "adapter_slots": 0, "loads_per_s": 1.4}}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// holder is a backend server that holds models and takes orders.
type holder struct {
	in      *installation
	id      string
	address string
	zone    string

	mu       sync.Mutex
	sequence int
	orders   int
	busy     bool
	held     map[string]bool
	over     int
	http     *http.Server
}

func startHolder(in *installation, id, address, zone string, models []string) (*holder, error) {
	h := &holder{in: in, id: id, address: address, zone: zone, held: map[string]bool{}}
	for _, m := range models {
		h.held[m] = true
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	h.http = &http.Server{Handler: http.HandlerFunc(h.serve)}
	go func() { _ = h.http.Serve(listener) }()
	go func() {
		for {
			h.heartbeat()
			time.Sleep(heartbeatInterval)
		}
	}()
	return h, nil
}

// models lists what it holds; the lock is held.
func (h *holder) models() []any {
	var names []string
	for name := range h.held {
		names = append(names, name)
	}
	sort.Strings(names)
	list := []any{}
	for _, name := range names {
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return list
}

func (h *holder) heartbeat() {
	h.mu.Lock()
	h.sequence++
	body := mustJSON(map[string]any{"service": retiredService, "address": h.address, "zone": h.zone, "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
		"stage": "both", "models": h.models(), "sequence": h.sequence})
	h.mu.Unlock()
	for _, c := range h.in.controls {
		if h.in.call(c, http.MethodPut, "/-/replicas/"+h.id, body, time.Second) == http.StatusOK {
			return
		}
	}
}

func (h *holder) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if expected := r.Header.Get("X-Expected-Replica"); expected != "" && expected != h.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	switch r.URL.Path {
	case "/-/report":
		_, _ = w.Write(mustJSON(map[string]any{"stage": "both", "models": h.models(), "busy": h.busy, "sequence": h.orders, "waiting": 0, "running": 0}))
	case "/-/order":
		h.order(w, r)
	default:
		if !h.held[strings.Split(r.Header.Get("X-Model"), "/")[0]] {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set("X-Response-Stamp", h.id+"."+id)
		_, _ = fmt.Fprint(w, id)
	}
}

// order takes an order; the lock is held.
func (h *holder) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Expected  *int   `json:"expected_count"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch {
	case order.Operation == "load" && h.held[order.Model], order.Operation == "unload" && !h.held[order.Model]:
		return
	case h.busy, order.Expected != nil && *order.Expected != h.orders:
		w.WriteHeader(http.StatusConflict)
		return
	}
	h.orders++
	h.busy = true
	after := float64(len(h.held)) * retiredWeightMB
	if order.Operation == "load" {
		after += retiredWeightMB
	}
	h.in.record.add("%s holds %d models and is ordered to %s %s: %.0f MB of %.0f", h.id, len(h.held), order.Operation, order.Model, after, retiredRoomMB)
	if after > retiredRoomMB {
		h.over++
	}
	w.WriteHeader(http.StatusAccepted)
	time.AfterFunc(2*time.Second, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.busy = false
		if order.Operation == "load" {
			h.held[order.Model] = true
		} else {
			delete(h.held, order.Model)
		}
	})
}

// runRetired takes a model out of the configuration while requests ask for one that no server holds yet.
func runRetired(in *installation, o options) (bool, error) {
	if err := in.startAll(retiredConfiguration(1, []string{"m1", "m2", "m3", "m4"})); err != nil {
		return false, err
	}
	var holders []*holder
	for i := range 2 {
		h, err := startHolder(in, fmt.Sprint("i-reader-", i+1), fmt.Sprintf("%s%d:%d", in.network, 51+i, in.ports.clients), zones[i], []string{"m1", "m2", "m3"})
		if err != nil {
			return false, err
		}
		holders = append(holders, h)
	}
	if err := in.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	if o.trouble {
		in.record.add("the operator takes m2 out of the configuration")
		if !in.putUntilTaken(retiredConfiguration(2, []string{"m1", "m3", "m4"}), 5*time.Second) {
			return false, fmt.Errorf("the second configuration was not taken")
		}
	}
	time.Sleep(15 * time.Second)
	over := 0
	for _, h := range holders {
		h.mu.Lock()
		over += h.over
		h.mu.Unlock()
	}
	in.record.add("%d orders to load more than a server has room for", over)
	return over > 0, nil
}
