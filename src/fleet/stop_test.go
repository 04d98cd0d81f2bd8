package fleet

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/clock"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/exchange"
	"github.com/moorspool/moorspool/src/option"
	"github.com/moorspool/moorspool/src/process"
	"github.com/moorspool/moorspool/src/signals"
	"github.com/moorspool/moorspool/src/wire"
)

// stopRecord records the steps of a stop with their times.
type stopRecord struct {
	began time.Time
	mu    sync.Mutex
	steps []string
}

func (r *stopRecord) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steps = append(r.steps, fmt.Sprintf("%v ", time.Since(r.began))+fmt.Sprintf(format, values...))
}

func (r *stopRecord) Stop()     { r.add("responses close") }
func (r *stopRecord) EndWaits() { r.add("waits end") }
func (r *stopRecord) CutOff()   { r.add("cut off") }
func (r *stopRecord) RefuseBeyond(from, end time.Time) {
	r.add("refuse from %v to %v", from.Sub(r.began), end.Sub(r.began))
}

// recordedServer is a server that stops when its last request ends.
type recordedServer struct {
	name   string
	record *stopRecord
	ends   time.Duration
}

func (s recordedServer) stop(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	s.record.add("stop %s until %v", s.name, deadline.Sub(s.record.began))
	select {
	case <-time.After(time.Until(s.record.began.Add(s.ends))):
	case <-ctx.Done():
	}
	return ctx.Err()
}

// TestTheStepsOfAStop: each of them was once removed without a test that noticed it.
func TestTheStepsOfAStop(t *testing.T) {
	const (
		first = "0s not ready; 0s responses close; 0s refuse from 2.75s to 7.5s; 0s told; "
		limit = 8 * time.Second
	)
	for _, c := range []struct {
		name string
		// learned is when the process learned of its signal, delay when the stop began, both after the signal.
		learned, delay, lag time.Duration
		// clients and forwarded are when the last requests end.
		clients, forwarded time.Duration
		want               string
	}{
		{"nothing runs", 0, 0, 3 * time.Second, 0, 0, first +
			"2.5s waits end; 3s stop clients until 7.5s; 3s stop forwarded until 7.5s; 3s cut off; 3s end"},
		{"the last requests end", 0, 0, 3 * time.Second, 4 * time.Second, 5 * time.Second, first +
			"2.5s waits end; 3s stop clients until 7.5s; 4s stop forwarded until 7.5s; 5s cut off; 5s end"},
		{"requests of clients run at the limit", 0, 0, 3 * time.Second, time.Hour, 0, first +
			"2.5s waits end; 3s stop clients until 7.5s; 7.5s stop forwarded until 7.5s; 7.5s cut off; 7.5s end"},
		{"forwarded requests run at the limit", 0, 0, 3 * time.Second, 0, time.Hour, first +
			"2.5s waits end; 3s stop clients until 7.5s; 3s stop forwarded until 7.5s; 7.5s cut off; 7.5s end"},
		{"a fast load balancer", 0, 0, time.Millisecond, 0, 0, strings.ReplaceAll(first, "from 2.75s", "from 0s") +
			"1ms stop clients until 7.5s; 1.2s stop forwarded until 7.5s; 1.2s cut off; 1.2s end"},
		{"a load balancer that is slower than the stop", 0, 0, time.Hour, 0, 0, strings.ReplaceAll(first, "from 2.75s", "from 3.5s") +
			"2.5s waits end; 3.75s stop clients until 7.5s; 3.75s stop forwarded until 7.5s; 3.75s cut off; 3.75s end"},
		{"begun late", 0, time.Second, 3 * time.Second, time.Hour, 0, strings.ReplaceAll(first, "0s ", "1s ") +
			"2.5s waits end; 3s stop clients until 7.5s; 7.5s stop forwarded until 7.5s; 7.5s cut off; 7.5s end"},
		{"learned late", 600 * time.Millisecond, 600 * time.Millisecond, 3 * time.Second, time.Hour, 0, strings.ReplaceAll(first, "0s ", "600ms ") +
			"2.5s waits end; 3.6s stop clients until 7.5s; 7.5s stop forwarded until 7.5s; 7.5s cut off; 7.5s end"},
		{"learned so late that it may have been sent just then", 3600 * time.Millisecond, 3600 * time.Millisecond, 3 * time.Second, time.Hour, 0, strings.ReplaceAll(first, "0s ", "3.6s ") +
			"3.6s waits end; 6.6s stop clients until 10.266666666s; 10.266666666s stop forwarded until 10.266666666s; 10.266666666s cut off; 10.266666666s end"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				record := &stopRecord{began: time.Now()}
				time.Sleep(c.delay)
				var told sync.WaitGroup
				told.Add(1)
				stopSteps{
					notReady: func() { record.add("not ready") },
					requests: record,
					tellLeaving: func(ctx context.Context) {
						defer told.Done()
						record.add("told")
						<-ctx.Done() // as a control node that stands still
					},
					clients:   recordedServer{"clients", record, c.clients},
					forwarded: recordedServer{"forwarded", record, c.forwarded},
					end:       func() { record.add("end") },
				}.run(newStopTimes(signals.Stop{Learned: record.began.Add(c.learned), SentAfter: record.began}, c.lag, limit))
				told.Wait()
				is.Equal(strings.Join(record.steps, "; "), c.want)
			})
		})
	}
}

// TestTheStepsOfAStopActOnTheGateway: a step that does nothing, or acts on the other server, has the right time too.
func TestTheStepsOfAStopActOnTheGateway(t *testing.T) {
	is := is.New(t)
	settings := option.Common{Node: "g", Events: 16}
	settings.Log.Level = "error"
	proc, err := process.New("gateway", settings, func(*wire.Status) {})
	is.NoErr(err)
	defer proc.CloseLog()
	ring := event.NewRing("g", 16, nil, time.Now)
	g := newOriginGateway()
	g.proc = proc
	g.fleet = exchange.NewFleet("z", nil, ring, time.Now, clock.Now)
	g.handler = exchange.NewHandler(exchange.Options{Fleet: g.fleet, Ring: ring, Now: time.Now})
	listening := func() *server {
		s, err := listen("127.0.0.1:0", http.NotFoundHandler())
		is.NoErr(err)
		return s
	}
	clients, forwarded := listening(), listening()
	steps := g.stopSteps(clients, forwarded)
	is.True(steps.requests == g.handler)
	is.True(steps.clients == clients)
	is.True(steps.forwarded == forwarded)
	steps.notReady()
	is.True(g.stopping.Load())
	is.True(proc.Leaving())
	steps.tellLeaving(context.Background())
	is.True(g.peer.get().Leaving)
	// A handler runs for a time that only the first wait allows for.
	clients.closeWait = 0
	forwarded.running.Add(1)
	began := time.Now()
	time.AfterFunc(answerWait/2, func() { forwarded.running.Add(-1) })
	steps.end()
	is.True(time.Since(began) >= answerWait/2)
	for _, s := range []*server{clients, forwarded} {
		_, err := s.listener.Accept()
		is.True(err != nil)
	}
}

// TestARequestSentBeforeALateSignalsMarkIsNotTaken: a stop counted its times from when the process learned of the
// signal, and cut off at its limit what was sent after those that its operator counts.
func TestARequestSentBeforeALateSignalsMarkIsNotTaken(t *testing.T) {
	is := is.New(t)
	sent := time.Now()
	const lag = 3 * time.Second
	for _, delay := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond} {
		is.True(!sendMark(sent.Add(delay), lag).After(sent.Add(lag)))
	}
	is.Equal(sendMark(sent, 0), sent)
	is.Equal(sendMark(sent, signalDelay/2), sent)
}
