package exchange

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

// The gateway that forwards a request counts the runs of the others, since it alone knows what it may forward again. So a
// gateway announces each further run before it sends it: in an interim response, or, once the stream has begun, in a
// comment of the stream. If it breaks off or dies nothing that it may have run is missing in the count.

// While the head of the response is overdue, each of both gateways might make a further run beside the first one, neither
// knowing of the other's. So the request belongs to the gateway that got it alone for a time, and the first one offers it to
// another gateway only afterwards, if what was announced leaves a run.

// announceMargin is how long the gateway that makes a further run has for it from when the response is overdue, and then how
// long its announcement may take.
const announceMargin = 100 * time.Millisecond

// runsMark begins a comment of a stream that announces how many replicas may run the request from now on.
const runsMark = ":moorspool-runs "

// addRuns counts attempts that replicas may have run.
func (c *call) addRuns(runs int) {
	c.possibleArrivals += runs
	c.possibleRuns += runs
}

// runs returns how many replicas may have run the request in an attempt that was sent.
func (s *sentAttempt) runs() int { return max(1, int(s.announced.Load())) }

// noteAnnounced records the runs that the headers of a gateway's response name. The last ones are exact.
func (s *sentAttempt) noteAnnounced(header http.Header) {
	if runs, err := strconv.Atoi(header.Get(headerForwardRuns)); err == nil {
		s.announced.Store(int64(runs))
	}
}

// countAnnounced makes the runs count that a gateway announces in its stream, until the returned function is called.
func (c *call) countAnnounced(s *sentAttempt) func() {
	if c.stream == nil {
		c.stream = &eventStream{}
	}
	counted := s.runs()
	c.stream.announced = func(runs int) {
		if runs > counted {
			c.addRuns(runs - counted)
			counted = runs
		}
	}
	return func() { c.stream.announced = nil }
}

// takeAnnounced removes the announcements from events.
func (s *eventStream) takeAnnounced(events []byte) []byte {
	if s.announced == nil || !bytes.Contains(events, []byte(runsMark)) {
		return events
	}
	var rest []byte
	for len(events) > 0 {
		end := firstEventEnd(events)
		if text, found := bytes.CutPrefix(events[:end], []byte(runsMark)); !found {
			rest = append(rest, events[:end]...)
		} else if runs, err := strconv.Atoi(string(bytes.TrimSpace(text))); err == nil {
			s.announced(runs)
		}
		events = events[end:]
	}
	return rest
}

// announceRun tells the gateway that forwarded the request that a further replica may run it from now on. It counts one
// run by itself.
func (c *call) announceRun() {
	runs := c.possibleRuns - c.runsBefore + 1
	if !c.forwarded || runs <= max(c.announced, 1) {
		return
	}
	if c.stream == nil || !c.stream.started {
		c.announced = runs
		c.writer.Header().Set(headerForwardRuns, strconv.Itoa(runs))
		c.writer.WriteHeader(http.StatusProcessing)
		return
	}
	if c.request.Header.Get(headerForwardCounts) == "" {
		return
	}
	c.announced = runs
	_, _ = io.WriteString(c.writer, runsMark+strconv.Itoa(runs)+"\n\n")
	_ = http.NewResponseController(c.writer).Flush()
}

// tellRuns sets in the response how many replicas may have run the request here.
func (c *call) tellRuns() {
	if !c.forwarded {
		return
	}
	c.announced = c.possibleRuns - c.runsBefore
	c.writer.Header().Set(headerForwardRuns, strconv.Itoa(c.announced))
}

// timeAlone returns for how long a gateway gets the request alone, 0 if no other one is offered it meanwhile.
func (c *call) timeAlone(now time.Time) time.Duration {
	fleet, want := c.handler.options.Fleet, c.requirements()
	allowed := func(zone string) bool { return fleet.residencyAllows(&want, zone) }
	if !c.route.Idempotent() || c.possibleRuns+1 >= c.route.Attempts || c.handler.gatewayList.pick(now, c.service, c.tried, allowed) == nil {
		return 0
	}
	return c.overdueAfter(now) + announceMargin
}

// offerBeside lets the request be offered to another gateway beside the one that it is being sent to, once that one has
// had it alone.
func (c *call) offerBeside(s *sentAttempt, alone time.Duration) {
	if alone == 0 {
		return
	}
	s.besideFrom = c.sentAt.Add(alone + announceMargin)
	if !c.beside {
		s.watch.setElsewhere(c.elsewhere(s), c.sentAt, s.besideFrom)
	}
}

// timeAloneOver reports whether another gateway may have been offered the forwarded request by a time.
func (c *call) timeAloneOver(at time.Time) bool {
	return !c.aloneUntil.IsZero() && !at.Before(c.aloneUntil)
}

// runsNoFurther reports whether replicas may have run a forwarded request here, and another gateway may have been offered
// it since: none is if the response began before the time for that.
func (c *call) runsNoFurther() bool {
	at := c.handler.options.Now()
	if c.stream != nil && c.stream.started {
		at = c.firstByte
	}
	return c.possibleRuns > c.runsBefore && c.timeAloneOver(at)
}
