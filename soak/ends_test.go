package main

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// TestAnAnswerInHTTP10NamesItsReplica: an answer that broke off was judged by the run of another attempt, which was cut as
// the replica that broke it off began.
func TestAnAnswerInHTTP10NamesItsReplica(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(stampHeader, stampOf("i-001", "q1"))
		w.WriteHeader(http.StatusOK)
	}))
	defer server.Close()
	got := sendStream(server.Listener.Addr().String(), endsClass{kind: "e", proto: "HTTP/1.0"}, "q1", "", 0)
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.stamp, "i-001.q1")
}
