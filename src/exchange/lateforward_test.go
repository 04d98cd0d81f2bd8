package exchange

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
)

// TestALateForwardedRequestThatMayHaveRunIsNotRefusedAsUnsent: 503 states that a request never runs, and the gateway that
// forwarded it passes that on.
func TestALateForwardedRequestThatMayHaveRunIsNotRefusedAsUnsent(t *testing.T) {
	for _, c := range []struct{ runs, want int }{{0, http.StatusServiceUnavailable}, {1, http.StatusGatewayTimeout}} {
		t.Run(strconv.Itoa(c.runs), func(t *testing.T) {
			is := is.New(t)
			r := route(catalog.Safe, 2)
			r.Timeout = time.Second
			replica := newReplica(t, "a", whole)
			b := newBench(t, r, replica)
			b.handler.examineSocket = func(net.Conn) socketState { return socketState{sinceArrival: 2 * time.Second} }
			conn, _ := dialPair(t)
			request := httptest.NewRequest("POST", "http://h.example/p/x", strings.NewReader("x"))
			request.Header.Set(testID, "one")
			request.Header.Set(headerForwardVersion, "1")
			request.Header.Set(headerForwardRuns, strconv.Itoa(c.runs))
			got := httptest.NewRecorder()
			b.handler.ServeForwarded(got, request.WithContext(ConnContext(request.Context(), conn)))
			is.Equal(got.Code, c.want)
			is.Equal(replica.count(), 0)
		})
	}
}
