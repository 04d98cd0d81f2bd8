package exchange

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/event"
)

// underWayLine is what a log line of a request under way contains.
const underWayLine = "msg=request-under-way"

// passMarkNow makes the mark of a stop pass, whose end is far off.
func (b *bench) passMarkNow() { b.handler.RefuseBeyond(time.Now(), time.Now().Add(time.Minute)) }

// linesOf returns the lines of a request that is under way.
func (l *logText) linesOf(request string) []string {
	var found []string
	for _, line := range strings.Split(l.linesWith(underWayLine), "\n") {
		if strings.Contains(line, " request="+request+" ") {
			found = append(found, line)
		}
	}
	return found
}

// containsAll reports whether a text contains words in their order.
func containsAll(text string, words ...string) bool {
	for _, word := range words {
		at := strings.Index(text, word)
		if at < 0 {
			return false
		}
		text = text[at+len(word):]
	}
	return true
}

// waiting is a behaviour that answers once a channel is closed. It tells on another one that a request has arrived.
func waiting(arrived chan<- struct{}, release <-chan struct{}, answer behaviour) behaviour {
	return func(a arrival) bool {
		arrived <- struct{}{}
		<-release
		return answer(a)
	}
}

// TestRequestsUnderWayAtTheMarkOfAStopAreLogged: what the kill of a gateway ended left no line of it.
func TestRequestsUnderWayAtTheMarkOfAStopAreLogged(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Safe, catalog.Unsafe, catalog.Streaming} {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			arrived, release := make(chan struct{}, 1), make(chan struct{})
			x := newReplica(t, "x", whole)
			b := newBench(t, route(kind, 2), x)
			text := b.logged()
			b.do("POST", "before", "x")
			b.awaitHandlers()
			x.setAct(waiting(arrived, release, whole))
			answers := make(chan clientResponse, 1)
			go func() { answers <- b.do("POST", "one", "x", testModel+": m") }()
			<-arrived
			time.Sleep(20 * time.Millisecond)
			is.Equal(text.linesWith(underWayLine), "")
			b.passMarkNow()
			lines := text.linesOf("one")
			is.Equal(len(lines), 1)
			is.True(containsAll(lines[0], "event=718", "model=m", "host=x", `reason="sent on 2`, " ms ago, 2", " ms before the deadline, no answer yet, its head was read ", " ms ago, its last byte ", " ms ago, route r"))
			is.Equal(len(text.linesOf("before")), 0)
			b.passMarkNow()
			close(release)
			is.Equal((<-answers).status, http.StatusOK)
			b.awaitHandlers()
			is.Equal(len(text.linesOf("one")), 1)
			is.Equal(len(b.handler.stop.underWay.requests), 0)
		})
	}
}

// TestALineOfARequestUnderWayTellsTheLastEvent: it tells what the client has.
func TestALineOfARequestUnderWayTellsTheLastEvent(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	defer close(release)
	x := newReplica(t, "x", func(a arrival) bool {
		a.head()
		a.event(1)
		a.event(2)
		<-release
		return false
	})
	b := newBench(t, route(catalog.Streaming, 1), x)
	text := b.logged()
	go b.do("POST", "one", "x")
	for b.handler.stop.underWay.lastEvent("one") != "2" {
		time.Sleep(time.Millisecond)
	}
	b.passMarkNow()
	is.Equal(len(text.linesOf("one")), 1)
	is.True(containsAll(text.linesOf("one")[0], ` ms before the deadline, after event \"2\", its head was read `))
}

// lastEvent returns the last event of a request.
func (u *underWay) lastEvent(request string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	for p := range u.requests {
		if p.request == request {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.lastEvent
		}
	}
	return ""
}

// TestWhatIsSentAfterTheMarkOfAStopIsLoggedAsItIsSent: it may be under way as the process is killed.
func TestWhatIsSentAfterTheMarkOfAStopIsLoggedAsItIsSent(t *testing.T) {
	is := is.New(t)
	var text *logText
	logged := make(chan int, 1)
	x := newReplica(t, "x", func(a arrival) bool {
		logged <- len(text.linesOf("one"))
		return whole(a)
	})
	b := newBench(t, route(catalog.Unsafe, 1), x)
	text = b.logged()
	b.passMarkNow()
	is.Equal(b.do("POST", "one", "x").status, http.StatusOK)
	is.Equal(<-logged, 1)
	b.awaitHandlers()
	is.Equal(len(text.linesOf("one")), 1)
	b.handler.RefuseBeyond(time.Now(), time.Now())
	is.Equal(b.do("POST", "unsent", "x").status, http.StatusServiceUnavailable)
	is.Equal(len(text.linesOf("unsent")), 0)
}

// TestEachHostThatMayRunARequestHasALineAsAGatewayStops: a request may have gone on elsewhere before the mark, or goes
// on after it.
func TestEachHostThatMayRunARequestHasALineAsAGatewayStops(t *testing.T) {
	for _, c := range []struct {
		name  string
		first behaviour
		want  int
	}{
		{"it broke off", func(arrival) bool { return false }, 2},
		{"it did not run the request", notRunning, 1},
	} {
		for _, after := range []bool{false, true} {
			name := c.name + ", then the mark"
			if after {
				name = "the mark, then " + c.name
			}
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				first, next := make(chan struct{}, 1), make(chan struct{}, 1)
				goOn, release := make(chan struct{}), make(chan struct{})
				o := newOverdueBench(t, route(catalog.Safe, 2), 2, waiting(first, goOn, c.first), waiting(next, release, whole))
				text := o.logged()
				answers := make(chan clientResponse, 1)
				go func() { answers <- o.do("GET", "one", "") }()
				<-first
				want := c.want
				if after {
					o.passMarkNow()
					is.Equal(len(text.linesOf("one")), 1)
					want = 2
				}
				close(goOn)
				<-next
				if !after {
					o.passMarkNow()
				}
				is.Equal(len(text.linesOf("one")), want)
				is.True(strings.Contains(text.linesOf("one")[want-1], "host="+o.last("one")))
				close(release)
				is.Equal((<-answers).status, http.StatusOK)
			})
		}
	}
}

// last returns the replica at which a request arrived after the first one.
func (o *overdueBench) last(request string) string {
	for _, r := range o.replicas {
		if r.id != *o.first.Load() && r.count() > 0 && r.last().name() == request {
			return r.id
		}
	}
	return ""
}

// TestForwardedRequestsUnderWayAreLoggedAtBothGateways: either may be killed.
func TestForwardedRequestsUnderWayAreLoggedAtBothGateways(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	n := newForwardNet(t, route(catalog.Unsafe, 1), 1, newReplica(t, "a", waiting(arrived, release, whole)))
	n.loseLinks()
	text, other := n.logged(), n.others[0].logged()
	answers := make(chan clientResponse, 1)
	go func() { answers <- n.do("POST", "one", "x") }()
	<-arrived
	n.passMarkNow()
	n.others[0].passMarkNow()
	is.True(containsAll(text.linesWith(underWayLine), "request=one", "host=g1"))
	is.True(containsAll(other.linesWith(underWayLine), "request=one", "host=a"))
	close(release)
	is.Equal((<-answers).status, http.StatusOK)
}

// TestManyRequestsHaveOneLineEachWhileTheMarkPasses: those that begin and end as the mark passes are neither left out
// nor logged after their result.
func TestManyRequestsHaveOneLineEachWhileTheMarkPasses(t *testing.T) {
	is := is.New(t)
	x := newReplica(t, "x", func(a arrival) bool {
		time.Sleep(time.Millisecond)
		return whole(a)
	})
	b := newBench(t, route(catalog.Safe, 1), x)
	b.setSlots(1000)
	ring := event.NewRing("g", 4096, nil, time.Now)
	b.handler.options.Ring = ring
	b.handler.RefuseBeyond(time.Now().Add(50*time.Millisecond), time.Now().Add(time.Minute))
	var late sync.Map
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Go(func() {
			for j := range 50 {
				request := fmt.Sprint(i, "-", j)
				if b.handler.stop.marked.Err() != nil && len(ringKinds(ring, event.RequestUnderWay)) > 0 {
					late.Store(request, true)
				}
				_ = b.do("GET", request, "")
			}
		})
	}
	clients.Wait()
	b.awaitHandlers()
	lines, ended := map[string]int{}, map[string]bool{}
	logged, _ := ring.Since(0, "")
	for _, e := range logged {
		switch e.Kind {
		case event.RequestUnderWay:
			is.True(!ended[e.Request])
			lines[e.Request]++
		case event.RequestFinished:
			ended[e.Request] = true
		}
	}
	is.Equal(len(ended), 400)
	is.True(len(lines) > 0)
	for _, n := range lines {
		is.Equal(n, 1)
	}
	late.Range(func(request, _ any) bool {
		is.Equal(lines[request.(string)], 1)
		return true
	})
}

// ringKinds returns the events of a kind.
func ringKinds(ring *event.Ring, kind event.Kind) []event.Event {
	logged, _ := ring.Since(0, "")
	return slices.DeleteFunc(logged, func(e event.Event) bool { return e.Kind != kind })
}

// TestARequestThatEndsAsTheMarkPassesHasNoLaterLine: a line after that of its result would say that it is under way.
func TestARequestThatEndsAsTheMarkPassesHasNoLaterLine(t *testing.T) {
	is := is.New(t)
	b := newBench(t, route(catalog.Safe, 1), newReplica(t, "x", whole))
	text := b.logged()
	p := &progress{request: "one"}
	p.addSend("x", time.Now())
	b.handler.stop.underWay.add(p)
	requests := b.handler.stop.underWay.mark()
	is.Equal(len(requests), 1)
	c := &call{handler: b.handler, progress: p}
	c.endProgress()
	b.handler.logUnderWay(requests[0])
	is.Equal(text.linesWith(underWayLine), "")
}
