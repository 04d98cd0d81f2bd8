//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The figures of the case. The servers together bear 600 requests a second.
const (
	brittleServers = 6
	brittleSlots   = 6
	brittleWaiting = 6
	brittleWork    = 60 * time.Millisecond
	// brittleNumber is how many requests a server may turn away in a second.
	brittleNumber = 2
	// brittleBack is how long a server that has fallen over is away.
	brittleBack  = 4 * time.Second
	brittleRate  = 400
	brittleBurst = 1160
	burstTime    = 3 * time.Second
	darkTime     = 3 * time.Second
	headerVia    = "X-Via"
)

// fall is one fall of a server, with the number of its latest rejections by gateway.
type fall struct {
	server   string
	at       time.Time
	rejected map[string]int
}

// brittleService is a service whose servers are brittle for a time.
type brittleService struct {
	in *installation

	mu      sync.Mutex
	since   time.Time
	started int
	falls   []fall
}

func (b *brittleService) begin() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.since = time.Now()
	b.in.record.add("the servers say Server-Brittle: %d from now on", brittleNumber)
}

// state reports whether the servers are brittle, and whether they have been for the contact time.
func (b *brittleService) state() (brittle, strict bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.since.IsZero(), !b.since.IsZero() && time.Since(b.since) > contactTime
}

// rejection is one request that a server turned away.
type rejection struct {
	at  time.Time
	via string
}

// brittleServer is one start of a server of the service.
type brittleServer struct {
	*server
	of       *brittleService
	number   int
	running  int
	rejected []rejection
	fallen   bool
	slots    chan struct{}
}

func (b *brittleService) start(number int) error {
	b.mu.Lock()
	b.started++
	id := fmt.Sprint("i-brittle-", b.started)
	b.mu.Unlock()
	s := &brittleServer{of: b, number: number, slots: make(chan struct{}, brittleSlots), server: &server{in: b.in, id: id, address: fmt.Sprintf("%s%d:%d", b.in.network, 51+number, b.in.ports.clients),
		zone: zones[number%len(zones)], service: restartedService, controls: b.in.controls, born: time.Now().UnixMilli(), state: "ready"}}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(listener) }()
	go s.sendHeartbeats()
	return nil
}

func (s *brittleServer) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expected-Replica"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	brittle, strict := s.of.state()
	if brittle {
		w.Header().Set("Server-Brittle", fmt.Sprint(brittleNumber))
	}
	if !s.enter(r.Header.Get(headerVia), strict) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	s.slots <- struct{}{}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id: id, at: time.Now()})
	s.mu.Unlock()
	time.Sleep(brittleWork)
	<-s.slots
	w.Header().Set("X-Response-Stamp", s.id+"."+id)
	_, _ = io.WriteString(w, id)
}

// enter reports whether there is room for a request. A server that is brittle lets none wait after the contact time,
// and falls over once it has to turn too many away.
func (s *brittleServer) enter(via string, strict bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	room := brittleSlots + brittleWaiting
	if strict {
		room = brittleSlots
	}
	if s.running < room {
		s.running++
		return true
	}
	now := time.Now()
	s.rejected = append(s.rejected, rejection{at: now, via: via})
	lately := map[string]int{}
	total := 0
	for _, r := range s.rejected {
		if now.Sub(r.at) < time.Second {
			lately[r.via]++
			total++
		}
	}
	if strict && total > brittleNumber && !s.fallen {
		s.fallen = true
		go s.of.fall(s, fall{server: s.id, at: now, rejected: lately})
	}
	return false
}

func (s *brittleServer) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// fall ends a server, which is back after some seconds as a new one.
func (b *brittleService) fall(s *brittleServer, f fall) {
	s.end()
	b.mu.Lock()
	b.falls = append(b.falls, f)
	b.mu.Unlock()
	b.in.record.add("server %s has turned away more than %d requests in a second and falls over; by gateway: %v", f.server, brittleNumber, f.rejected)
	time.Sleep(brittleBack)
	if err := b.start(s.number); err != nil {
		b.in.record.add("%s", err)
	}
}

// balancer sends requests to the gateways that are in, as the platform does.
type balancer struct {
	in   *installation
	out  []atomic.Bool
	next atomic.Int64
}

// watch asks the gateways each second whether they are ready; two misses take one out.
func (b *balancer) watch(gateway int) {
	for misses := 0; ; time.Sleep(time.Second) {
		if b.in.ready(b.in.gateways[gateway]) {
			misses = 0
			b.out[gateway].Store(false)
			continue
		}
		if misses++; misses == 2 {
			b.out[gateway].Store(true)
			b.in.record.add("the balancer takes %s out", b.in.gateways[gateway].name)
		}
	}
}

// pick returns the next gateway that is in.
func (b *balancer) pick() int {
	for range b.out {
		if i := int(b.next.Add(1)) % len(b.out); !b.out[i].Load() {
			return i
		}
	}
	return 0
}

// runBrittle kills a gateway while the servers are brittle; it comes back in a burst. Without the disruption it
// isn't killed.
func runBrittle(in *installation, o options) (bool, error) {
	if err := in.startAll(restartedConfiguration()); err != nil {
		return false, err
	}
	service := &brittleService{in: in}
	for i := range brittleServers {
		if err := service.start(i); err != nil {
			return false, err
		}
	}
	if err := in.awaitReady(); err != nil {
		return false, err
	}
	b := &balancer{in: in, out: make([]atomic.Bool, len(in.gateways))}
	for i := range in.gateways {
		go b.watch(i)
	}
	time.Sleep(contactTime)
	l := newLoad(in, restartedPath)
	l.pick = b.pick
	l.steady(brittleRate, 2*time.Second)
	service.begin()
	l.steady(brittleRate, contactTime+500*time.Millisecond)
	killed := in.gateways[0]
	var killedAt time.Time
	if o.trouble {
		killedAt = time.Now()
		killed.signal(syscall.SIGKILL)
		in.record.add("%s is killed and stays dark for %s", killed.name, darkTime)
	}
	l.steady(brittleRate, darkTime-time.Second)
	burst := time.Now()
	in.record.add("the burst begins: %d requests a second for %s", brittleBurst, burstTime)
	if o.trouble {
		go func() {
			time.Sleep(time.Until(killedAt.Add(darkTime)))
			in.record.add("%s starts again", killed.name)
			if err := in.start(killed); err != nil {
				in.record.add("%s", err)
			}
		}()
	}
	l.steady(brittleBurst, burstTime)
	in.record.add("the burst ends after %.3f s", time.Since(burst).Seconds())
	l.steady(brittleRate, 3*time.Second)
	attempts := l.end()
	counts := map[int]int{}
	for _, a := range attempts {
		counts[a.status]++
	}
	in.record.add("requests by status (0 is no answer): %v", counts)
	return judgeFalls(in, service, killed), nil
}

// judgeFalls reports whether the servers fell over more often than the rule allows. A fall counts if most of what was
// rejected came by way of gateways that were not disturbed.
func judgeFalls(in *installation, b *brittleService, disturbed *process) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	counted := 0
	for _, f := range b.falls {
		inTouch, others := 0, 0
		for via, n := range f.rejected {
			if via == disturbed.name {
				others += n
			} else {
				inTouch += n
			}
		}
		if inTouch > others {
			counted++
		}
	}
	allowed := 2 + float64(brittleServers)/10
	in.record.add("%d falls, %d of them count, %.1f are allowed", len(b.falls), counted, allowed)
	return float64(counted) > allowed
}
