package exchange

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/event"
)

// BenchmarkRelay sends small requests through a gateway to a replica, one at a time. The client and the replica
// are part of what is measured.
func BenchmarkRelay(b *testing.B) {
	x := newReplica(b, "x", whole)
	gateway := newBench(b, route(catalog.Safe, 1), x)
	b.ReportAllocs()
	for b.Loop() {
		request, err := http.NewRequest(http.MethodGet, gateway.server.URL+"/p/x", nil)
		if err != nil {
			b.Fatal(err)
		}
		request.Host = "h.example"
		request.Header.Set(testID, "one")
		response, err := gateway.server.Client().Do(request)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
		_ = response.Body.Close()
	}
}

// BenchmarkUnderWay notes the sends and the ends of requests, many at a time.
func BenchmarkUnderWay(b *testing.B) {
	r := route(catalog.Safe, 1)
	h := newBench(b, r).handler
	peer, now := &Peer{id: "x"}, time.Now()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c := &call{handler: h, route: &r, startedAt: now, sentAt: now}
			c.noteUnderWay(peer)
			c.endProgress()
		}
	})
}

// BenchmarkPassMark logs a thousand requests as the mark of a stop passes.
func BenchmarkPassMark(b *testing.B) {
	r := route(catalog.Safe, 1)
	h := newBench(b, r).handler
	writer := event.NewWriter(io.Discard)
	defer writer.Close(time.Second)
	writer.WriteAtOnce()
	ring := event.NewRing("g", 64, event.NewLogger(writer, "g"), time.Now)
	ring.SetWriter(writer)
	h.options.Ring = ring
	for b.Loop() {
		now := time.Now()
		for range 1000 {
			c := &call{handler: h, route: &r, startedAt: now, sentAt: now}
			h.stop.underWay.marked = false
			c.noteUnderWay(&Peer{id: "x"})
		}
		h.passMark()
		clear(h.stop.underWay.requests)
	}
}
