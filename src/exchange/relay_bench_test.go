package exchange

import (
	"io"
	"net/http"
	"testing"

	"github.com/moorspool/moorspool/src/catalog"
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
