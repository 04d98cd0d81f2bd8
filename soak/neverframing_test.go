package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestNoAnswerIsFramedInASpell(t *testing.T) {
	is := is.New(t)
	var f framing
	f.beginSpell(10)
	f.beginSpell(30)
	f.endSpell()
	never, broken := f.isNever()
	is.True(never)
	is.Equal(broken, 30)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(f.write(w, func() { t.Error("broken off") }), "body")
	}))
	defer server.Close()
	for range 50 {
		response, err := http.Get(server.URL)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(string(body), "body")
		is.True(!framed(response))
	}
	f.endSpell()
	never, _ = f.isNever()
	is.True(!never)
}

// TestAStreamToTheCloseIsLostAroundAStopAlone guards the count of whole streams that end without a proper end.
func TestAStreamToTheCloseIsLostAroundAStopAlone(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(s *lostScene)
		whole  bool
		want   toTheCloseCount
	}{
		{"far from any stop", func(*lostScene) {}, false, toTheCloseCount{cutOff: 1}},
		{"around a stop", func(s *lostScene) { s.strike("gateway-1", "stop", true, 0, time.Second) }, false, toTheCloseCount{cutOff: 1, nearStop: 1}},
		{"a gateway that has just started", func(s *lostScene) { s.strike("gateway-1", "stop", true, -7*time.Second, -3*time.Second) }, false, toTheCloseCount{cutOff: 1, nearStop: 1}},
		{"long after a stop", func(s *lostScene) { s.strike("gateway-1", "stop", true, -8*time.Second, -4*time.Second) }, false, toTheCloseCount{cutOff: 1}},
		{"a stop of another gateway", func(s *lostScene) { s.strike("gateway-3", "stop", true, 0, 0) }, false, toTheCloseCount{cutOff: 1}},
		{"a stop and a kill", func(s *lostScene) {
			s.strike("gateway-1", "stop", true, 0, time.Second)
			s.strike("gateway-1", "kill", false, 0, 0)
		}, false, toTheCloseCount{cutOff: 1}},
		{"its replica broke it off", func(s *lostScene) { s.checks.recordBrokenOff(s.run) }, false, toTheCloseCount{}},
		{"a plain answer", func(s *lostScene) { s.answer.kind = "u" }, false, toTheCloseCount{}},
		{"whole", func(*lostScene) {}, true, toTheCloseCount{whole: 1}},
		{"whole by a framed rest", func(s *lostScene) {
			s.checks.beginRun("q1", &replica{id: "i-002", pause: newPause()}, "gateway-1", s.start.Add(time.Second))
		}, true, toTheCloseCount{whole: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newLostScene()
			s.checks.recordUnframed(s.run)
			s.run.endedAt = s.start.Add(time.Second)
			s.answer.kind = "n"
			test.change(s)
			s.checks.recordAnswer(s.answer, test.whole)
			is.Equal(len(s.checks.findings(&s.strikes, s.stop, io.Discard)), 0)
			is.Equal(s.checks.toTheClose, test.want)
		})
	}
}
