//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// replica is a stand-in of one replica: it sends heartbeats and answers what its handler makes of a request.
type replica struct {
	cluster *cluster
	id      string
	address string
	zone    string
	service string
	slots   int
	models  []map[string]any
	handle  handler

	server  *http.Server
	stopped chan struct{}
	// silence holds up everything that the replica does.
	silence silence

	mu       sync.Mutex
	sequence int
	state    string
	// drainAckedAt is when a control node acknowledged that the replica is draining.
	drainAckedAt time.Time
	// next is the control node that gets the next heartbeat.
	next int
	// orders counts the orders taken, fence is the highest token seen, loading is set while one is under way.
	orders  int
	fence   int
	loading bool
}

// handler is what a replica does with a request.
type handler func(r *replica, w http.ResponseWriter, request *http.Request)

// newReplica returns a replica that does not run yet.
func (c *cluster) newReplica(id, service string, slots int, models []map[string]any, handle handler) *replica {
	i := len(c.replicas)
	return &replica{
		cluster: c, id: id, address: fmt.Sprintf("%s%d:%d", c.network, 101+i, replicaPort), zone: zoneNames[i%3], service: service,
		slots: slots, models: models, handle: handle, state: "ready", stopped: make(chan struct{}), next: i,
	}
}

// addReplica starts a replica and registers it.
func (c *cluster) addReplica(id, service string, slots int, models []map[string]any, handle handler) *replica {
	r := c.newReplica(id, service, slots, models, handle)
	listener, err := net.Listen("tcp", r.address)
	check(err)
	r.run(listener)
	return r
}

// addShortReplica is addReplica for a replica with a short queue of new connections.
func (c *cluster) addShortReplica(id, service string, slots, backlog int, models []map[string]any, handle handler) *replica {
	r := c.newReplica(id, service, slots, models, handle)
	r.run(silentListener{listenShort(r.address, backlog), &r.silence})
	return r
}

// run serves a listener and begins to send heartbeats.
func (r *replica) run(listener net.Listener) {
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(listener) }()
	r.cluster.replicas = append(r.cluster.replicas, r)
	record.write("replica %s started at %s", r.id, r.address)
	go r.sendHeartbeats()
}

func (r *replica) serve(w http.ResponseWriter, request *http.Request) {
	r.silence.wait()
	if id := request.Header.Get("X-Attempt-Id"); id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if expected := request.Header.Get("X-Expected-Replica"); expected != "" && expected != r.id {
		w.Header().Set("X-Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/-/report":
		r.mu.Lock()
		defer r.mu.Unlock()
		writeJSON(w, map[string]any{"stage": "both", "models": r.models, "busy": r.loading, "sequence": r.orders, "waiting": 0, "running": 0, "kv_cache_used": 0, "kv_cache_total": 130000, "handles": 0})
	case "/-/order":
		r.order(w, request)
	case "/health":
		w.Header().Set("X-Replica-Id", r.id)
	default:
		r.handle(r, w, request)
	}
}

// loadTime is how long the load of a model takes; every model of the cases is loaded from the store.
const loadTime = 9 * time.Second

// order answers an order as the platform's page says. Adapters are not needed by the cases.
func (r *replica) order(w http.ResponseWriter, request *http.Request) {
	var body struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Token     int    `json:"fencing_token"`
		Expected  *int   `json:"expected_count"`
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	held := r.holds(body.Model)
	r.mu.Lock()
	defer r.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case body.Token < r.fence:
		status = http.StatusPreconditionFailed
	case r.loading || body.Expected != nil && *body.Expected != r.orders:
		status = http.StatusConflict
	case held == (body.Operation == "load"):
		status = http.StatusOK
	case body.Operation == "load":
		r.loading = true
		time.AfterFunc(loadTime, func() { r.loaded(body.Model) })
	default:
		r.models = slices.DeleteFunc(slices.Clone(r.models), func(m map[string]any) bool { return m["name"] == body.Model })
	}
	r.fence = max(r.fence, body.Token)
	if status == http.StatusAccepted {
		r.orders++
	}
	record.write("replica %s: order to %s %s, %d", r.id, body.Operation, body.Model, status)
	w.WriteHeader(status)
}

// loaded ends the load of a model.
func (r *replica) loaded(model string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loading = false
	r.models = append(slices.Clone(r.models), map[string]any{"name": model, "version": 1, "adapters": []string{}})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	check(json.NewEncoder(w).Encode(value))
}

// sendHeartbeats sends a heartbeat every 1.2 s.
func (r *replica) sendHeartbeats() {
	for {
		r.silence.wait()
		r.beat()
		select {
		case <-r.stopped:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// beat sends a heartbeat to the control nodes in turn until one acknowledges it.
func (r *replica) beat() bool {
	r.mu.Lock()
	r.sequence++
	state := r.state
	body := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state,
		"cold_remaining_ms": 0, "stage": "both", "models": r.models, "sequence": r.sequence,
	}
	r.mu.Unlock()
	raw, err := json.Marshal(body)
	check(err)
	for range r.cluster.controls {
		r.mu.Lock()
		n := r.cluster.controls[r.next%len(r.cluster.controls)]
		r.mu.Unlock()
		status, _ := r.cluster.call(n, http.MethodPut, "/-/replicas/"+r.id, raw)
		if status >= 200 && status < 300 {
			if state == "draining" {
				r.noteDrain(n)
			}
			return true
		}
		r.mu.Lock()
		r.next++
		r.mu.Unlock()
	}
	return false
}

func (r *replica) noteDrain(by *node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.drainAckedAt.IsZero() {
		r.drainAckedAt = time.Now()
		record.write("replica %s: draining acknowledged by %s", r.id, by.name)
	}
}

// drain announces that the replica leaves, and returns when that is acknowledged.
func (r *replica) drain() {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	for range 20 {
		if r.beat() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	cannotRun("the draining of %s was not acknowledged", r.id)
}

// drainedFor returns how long ago the draining was acknowledged, 0 if it was not.
func (r *replica) drainedFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.drainAckedAt.IsZero() {
		return 0
	}
	return time.Since(r.drainAckedAt)
}

// deregister says that the replica ends.
func (r *replica) deregister() {
	for _, n := range r.cluster.controls {
		if status, _ := r.cluster.call(n, http.MethodDelete, "/-/replicas/"+r.id, nil); status == http.StatusOK {
			return
		}
	}
}

// crash ends the replica: its connections close and its port refuses connections.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.stopped:
		return
	default:
	}
	close(r.stopped)
	_ = r.server.Close()
	record.write("replica %s ended", r.id)
}

// holds reports whether the replica holds a model.
func (r *replica) holds(model string) bool {
	if model == "" {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, held := range r.models {
		if held["name"] == model {
			return true
		}
	}
	return false
}
