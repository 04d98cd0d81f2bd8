//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// The dose of the disruption: three servers of five send more after 3 in 100 of their answers for a time.
const (
	surplusServers = 5
	faultyServers  = 3
	surplusEvery   = 34
	surplusTime    = 5 * time.Second
	// surplusRate is the number of requests a second.
	surplusRate = 150
)

// surplusBytes are what it sends after a whole answer, late, in the place where the next answer is due.
const surplusBytes = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// serveRaw serves connections like server.serve, one request at a time, and sends more after some answers while it
// is faulty.
func (s *server) serveRaw(listener net.Listener, faulty *atomic.Bool) {
	var answers atomic.Int64
	surplus := func() bool { return faulty.Load() && answers.Add(1)%surplusEvery == 0 }
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serveConnection(conn, surplus)
	}
}

func (s *server) serveConnection(conn net.Conn, surplusDue func() bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for surplus := false; ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Attempt-Id")
		if surplus {
			s.in.record.add("server %s sends more after its last answer; request %s is under way on the connection", s.id, id)
			if _, err := io.WriteString(conn, surplusBytes); err != nil {
				return
			}
		}
		s.mu.Lock()
		s.arrivals = append(s.arrivals, arrival{id: id, at: time.Now()})
		s.mu.Unlock()
		time.Sleep(s.work)
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, s.id, id, len(id), id); err != nil {
			return
		}
		surplus = surplusDue()
	}
}

// runSurplus lets servers send more after some of their answers.
func runSurplus(in *installation, o options) (bool, error) {
	if err := in.startAll(restartedConfiguration()); err != nil {
		return false, err
	}
	var faulty, sound atomic.Bool
	var servers []*server
	for i := range surplusServers {
		s := &server{in: in, id: fmt.Sprint("i-desk-", i+1), address: fmt.Sprintf("%s%d:%d", in.network, 51+i, in.ports.clients), zone: zones[i%len(zones)],
			service: restartedService, work: 15 * time.Millisecond, controls: in.controls, born: time.Now().UnixMilli(), state: "ready"}
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return false, err
		}
		defer listener.Close()
		if i < faultyServers {
			go s.serveRaw(listener, &faulty)
		} else {
			go s.serveRaw(listener, &sound)
		}
		go s.sendHeartbeats()
		servers = append(servers, s)
	}
	if err := in.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	l := newLoad(in, restartedPath)
	l.steady(surplusRate, 3*time.Second)
	faulty.Store(o.trouble)
	l.steady(surplusRate, surplusTime)
	faulty.Store(false)
	l.steady(surplusRate, 3*time.Second)
	attempts := l.end()
	runs := map[string][]string{}
	for _, s := range servers {
		for _, arrived := range s.arrived() {
			runs[arrived.id] = append(runs[arrived.id], s.id+" at "+in.record.at(arrived.at))
		}
	}
	twice, refused := 0, 0
	counts := map[int]int{}
	for id, a := range attempts {
		counts[a.status]++
		if len(runs[id]) > 1 {
			twice++
			in.record.add("request %s by way of %s ran at %v; the client got status %d", id, a.gateway, runs[id], a.status)
		}
		if len(runs[id]) > 0 && (a.status == 503 || a.status == 429) {
			refused++
			in.record.add("request %s by way of %s ran at %v and was refused with status %d", id, a.gateway, runs[id], a.status)
		}
	}
	in.record.add("requests by status (0 is no answer): %v", counts)
	in.record.add("%d requests of an unsafe route ran more than once, %d ran and were refused", twice, refused)
	return twice+refused > 0, nil
}
