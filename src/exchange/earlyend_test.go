package exchange

import (
	"context"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/event"
)

// recordEvents makes the handler log to a ring.
func (b *bench) recordEvents() *event.Ring {
	ring := event.NewRing("n", 256, nil, time.Now)
	b.handler.options.Ring = ring
	return ring
}

// endedEarly returns the reasons of the lines on answers that ended early.
func endedEarly(ring *event.Ring) []string {
	var reasons []string
	events, _ := ring.Since(0, event.AnswerEndedEarly.String())
	for _, e := range events {
		reasons = append(reasons, e.Reason)
	}
	return reasons
}

func TestWhatEndedAnAnswerEarlyIsLogged(t *testing.T) {
	begin := func(a arrival) {
		a.head()
		a.event(1)
	}
	for _, c := range []struct {
		name string
		act  behaviour
		want []string
	}{
		{"closed inside an event", func(a arrival) bool {
			begin(a)
			a.chunk("id: 2\n")
			a.endStream()
			return false
		}, []string{"server_closed", `after event "1"`, "before the deadline"}},
		{"closed without a last chunk", func(a arrival) bool { begin(a); return false }, []string{"server_closed", "unexpected EOF"}},
		{"reset", func(a arrival) bool {
			begin(a)
			time.Sleep(50 * time.Millisecond)
			_ = a.conn.(*net.TCPConn).SetLinger(lingerReset)
			return false
		}, []string{"connection_reset", `after event "1"`}},
		{"no answer", func(arrival) bool { return false }, []string{"server_closed", "no answer", "status 502"}},
		{"the deadline", func(a arrival) bool {
			begin(a)
			time.Sleep(1500 * time.Millisecond)
			return false
		}, []string{"deadline", `after event "1"`}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := route(catalog.Streaming, 1)
			r.Timeout = time.Second
			b := newBench(t, r, newReplica(t, "x", c.act))
			ring := b.recordEvents()
			_ = b.do("POST", "one", "x")
			b.awaitHandlers()
			lines := endedEarly(ring)
			is.Equal(len(lines), 1)
			is.True(strings.HasPrefix(lines[0], c.want[0]+", "))
			for _, part := range c.want {
				if !strings.Contains(lines[0], part) {
					t.Errorf("%q lacks %q", lines[0], part)
				}
			}
		})
	}
}

func TestOnlyAClientThatLeftIsSaidToHaveLeft(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		is := is.New(t)
		begun := make(chan struct{})
		x := newReplica(t, "x", func(a arrival) bool {
			a.head()
			a.event(1)
			close(begun)
			return true
		})
		b := newBench(t, route(catalog.Streaming, 1), x)
		ring := b.recordEvents()
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-begun
			if cutOff {
				b.handler.CutOff()
			}
			cancel()
		}()
		_ = b.doIn(ctx, "POST", "one", "x")
		b.awaitHandlers()
		left, _ := ring.Since(0, event.ClientDisconnected.String())
		is.Equal(len(left) == 0, cutOff)
		is.Equal(len(endedEarly(ring)) == 1, cutOff)
	}
}

// TestAnAnswerThatAStopCutOffTellsWhenItsRequestWasReadAndSent: whether it was sent too late could not be told.
func TestAnAnswerThatAStopCutOffTellsWhenItsRequestWasReadAndSent(t *testing.T) {
	is := is.New(t)
	x := newReplica(t, "x", func(arrival) bool {
		time.Sleep(time.Second)
		return false
	})
	b := newBench(t, route(catalog.Streaming, 1), x)
	ring := b.recordEvents()
	answers := make(chan clientResponse, 1)
	go func() { answers <- b.do("POST", "one", "x") }()
	for x.count() == 0 {
		time.Sleep(time.Millisecond)
	}
	b.handler.Stop()
	b.handler.CutOff()
	<-answers
	b.awaitHandlers()
	lines := endedEarly(ring)
	is.Equal(len(lines), 1)
	for _, want := range []string{"gateway_stopped", "its head was read", "its last byte", "last sent on"} {
		is.True(strings.Contains(lines[0], want))
	}
}

// TestLinesOfAStopCountFromItsSignal: times of a stop that began late can't be told from those of the lines alone.
func TestLinesOfAStopCountFromItsSignal(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	defer close(release)
	b := newBench(t, route(catalog.Streaming, 1), newReplica(t, "x", waiting(arrived, release, whole)))
	text := b.logged()
	b.handler.NoteStopSignal(time.Now().Add(-7 * time.Second))
	b.handler.Stop()
	is.Equal(b.do("POST", "unsent", "x", testModel+": rare", testDeadline+": 50").status, http.StatusServiceUnavailable)
	answers := make(chan clientResponse, 1)
	go func() { answers <- b.do("POST", "one", "x") }()
	<-arrived
	b.passMarkNow()
	b.handler.CutOff()
	is.Equal((<-answers).status, http.StatusBadGateway)
	b.awaitHandlers()
	lines := text.linesWith("request=one")
	const sent = ` on 7\d\d\d ms`
	for _, want := range []string{
		`event=718 .*reason="sent on \d+ ms ago, 7\d\d\d ms after the stop's signal, \d+ ms before the deadline, no answer yet`,
		`event=717 .*reason="gateway_stopped, sent` + sent + ` and ended 7\d\d\d ms after the stop's signal, .*no answer`,
		`event=702 .*reason="status 502, sent` + sent + ` and ended 7\d\d\d ms after the stop's signal, route r`,
	} {
		is.True(regexp.MustCompile(want).MatchString(lines))
	}
	is.True(strings.Contains(text.linesWith("request=unsent"), `reason="status 503, not sent on, ended 7`))
}

// TestLinesOfAStopCountFromItsBeginningWithoutAnEarlierSignal: they must not count from the zero time.
func TestLinesOfAStopCountFromItsBeginningWithoutAnEarlierSignal(t *testing.T) {
	is := is.New(t)
	b := newBench(t, route(catalog.Safe, 1), newReplica(t, "x", whole))
	text := b.logged()
	is.Equal(b.do("GET", "before", "").status, http.StatusOK)
	b.awaitHandlers()
	b.handler.Stop()
	b.handler.NoteStopSignal(time.Now().Add(-time.Hour))
	is.Equal(b.do("GET", "after", "").status, http.StatusOK)
	b.awaitHandlers()
	is.True(strings.Contains(text.linesWith("request=before"), `reason="status 200, route`))
	is.True(regexp.MustCompile(`reason="status 200, sent on \d{1,3} ms and ended \d{1,3} ms after the stop's signal, route`).MatchString(text.linesWith("request=after")))
}
