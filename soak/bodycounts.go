package main

import (
	"fmt"
	"net/http"
	"time"
)

// lossSlack is how long after its last byte a request may be closed that was read and not passed on.
const lossSlack = 200 * time.Millisecond

// bodyOutcome is how a request ended whose body was sent by a plan.
type bodyOutcome string

const (
	bodyWhole       bodyOutcome = "whole"
	bodyRefused     bodyOutcome = "refused unsent"
	bodyRefusedRun  bodyOutcome = "refused though it ran"
	bodyNoConn      bodyOutcome = "no connection"
	bodyLostAtWork  bodyOutcome = "LOST, replica at work"
	bodyLostDone    bodyOutcome = "LOST, replica done"
	bodyLostUnsent  bodyOutcome = "LOST, not passed on"
	bodyCutShort    bodyOutcome = "passed on without its whole body"
	bodyAtLimit     bodyOutcome = "cut off at the limit"
	bodyTimeOver    bodyOutcome = "time over"
	bodyBrokenOff   bodyOutcome = "broken off"
	bodyUnanswered  bodyOutcome = "unanswered"
	bodyUnread      bodyOutcome = "not sent whole, closed"
	bodyReset       bodyOutcome = "reset while writing"
	bodyFailedUnrun bodyOutcome = "failed, never ran"
)

// bodyOutcomes are all outcomes in the order in which they are printed.
var bodyOutcomes = []bodyOutcome{
	bodyWhole, bodyRefused, bodyLostAtWork, bodyLostDone, bodyLostUnsent, bodyCutShort, bodyRefusedRun, bodyAtLimit, bodyTimeOver,
	bodyBrokenOff, bodyUnanswered, bodyReset, bodyUnread, bodyFailedUnrun, bodyNoConn,
}

// isNamed reports whether each request of an outcome is named in the output.
func (o bodyOutcome) isNamed() bool {
	switch o {
	case bodyLostAtWork, bodyLostDone, bodyLostUnsent, bodyCutShort, bodyRefusedRun:
		return true
	}
	return false
}

// bodyOutcome returns how a request with its last run, nil if there is none, ended. The time for its answer counts
// from its first byte, as gateways count it; whether a stop may cut it off depends on its last byte.
func (s *silenceResult) bodyOutcome(run *silentRun, stop plannedStop) bodyOutcome {
	refused := s.body.answered && (s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests)
	switch {
	case s.whole:
		return bodyWhole
	case !s.dialed:
		return bodyNoConn
	case run == nil && refused:
		return bodyRefused
	case run == nil:
		return s.unrunOutcome()
	case run.bodyBytes != s.body.plan.bytes || s.body.lastByteAt.IsZero():
		return bodyCutShort
	case refused:
		return bodyRefusedRun
	case s.timeOver():
		return bodyTimeOver
	case s.mayBeCutOff(run, stop):
		return bodyAtLimit
	case run.atWork(s.endedAt):
		return bodyLostAtWork
	}
	return bodyLostDone
}

// unrunOutcome returns how a request ended that no replica ran and that was not refused.
func (s *silenceResult) unrunOutcome() bodyOutcome {
	switch {
	case s.body.answered:
		return bodyFailedUnrun
	case s.body.reset:
		return bodyReset
	case s.status != 0:
		return bodyBrokenOff
	case s.body.lastByteAt.IsZero():
		return bodyUnread
	case s.endedAt.Sub(s.body.lastByteAt) > lossSlack && !s.timeOver():
		return bodyLostUnsent
	}
	return bodyUnanswered
}

// timeOver reports whether the time for an answer was over, counted from the first byte.
func (s *silenceResult) timeOver() bool {
	return s.endedAt.Sub(s.sentAt) >= s.class.timeout-deadlineSlack
}

// mayBeCutOff reports whether a gateway that stops may have cut a run off at its limit: the replica was at work in the
// last sixth of the time to stop, and the last byte had been sent by lastRequestTime after the signal.
func (s *silenceResult) mayBeCutOff(run *silentRun, stop plannedStop) bool {
	return s.stopping && run.atWork(s.endedAt) && !s.endedAt.Before(s.signalAt.Add(stop.limit*5/6)) &&
		!s.body.lastByteAt.After(s.signalAt.Add(lastRequestTime))
}

// bodyCount counts the requests of a class.
type bodyCount struct {
	sent, slow int
	outcomes   map[bodyOutcome]int
	// slowOutcomes counts those whose bodies were sent over time.
	slowOutcomes map[bodyOutcome]int
	// refusedEarly counts refusals that came before the body was sent whole.
	refusedEarly int
	// silentEnds counts requests that ran and were closed without an answer of any status.
	silentEnds int
	// elsewhere counts named outcomes at gateways that did not stop.
	elsewhere int
	// unnamed counts named outcomes of which no line of the client's gateway tells.
	unnamed int
	named   []string
}

// add counts a request.
func (n *bodyCount) add(result *silenceResult, run *silentRun, stop plannedStop) bodyOutcome {
	outcome, slow := result.bodyOutcome(run, stop), asNumber(result.body.plan.duration > 0)
	n.sent++
	n.slow += slow
	n.outcomes[outcome]++
	n.slowOutcomes[outcome] += slow
	n.refusedEarly += asNumber(outcome == bodyRefused && result.body.lastByteAt.IsZero())
	n.silentEnds += asNumber(result.dialed && run != nil && result.status == 0)
	n.elsewhere += asNumber(outcome.isNamed() && !result.stopping)
	return outcome
}

// printBodies prints the outcomes of each class and writes each request that was not answered whole to the log.
func (m *silenceMeasurement) printBodies() {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts, lines, named := map[string]*bodyCount{}, m.in.requestLines(), m.in.namedRequests()
	for _, class := range m.load.classes {
		counts[class.kind] = &bodyCount{outcomes: map[bodyOutcome]int{}, slowOutcomes: map[bodyOutcome]int{}}
	}
	for i := range m.results {
		result := &m.results[i]
		n, run := counts[result.class.kind], lastRun(m.runs[result.id])
		outcome := n.add(result, run, m.in.stop)
		if outcome == bodyWhole || outcome == bodyNoConn {
			continue
		}
		line := result.describeBody(run)
		fmt.Fprintf(m.log, "%s: %s | %s\n", outcome, line, lines[result.id])
		n.unnamed += asNumber(outcome.isNamed() && !named[namedRequest{result.gateway.name, result.id}])
		if outcome.isNamed() && len(n.named) < maxLostIDs {
			n.named = append(n.named, fmt.Sprintf("%s: %s", outcome, line))
		}
	}
	for _, class := range m.load.classes {
		counts[class.kind].print(class.name)
	}
	fmt.Printf("%d stops, %d of them ended by SIGKILL %s after the signal was sent\n", m.stops, m.kills, m.in.stop.limit)
}

// print prints the counts of a class.
func (n *bodyCount) print(name string) {
	fmt.Printf("%s: sent %d, %d of them with bodies over time", name, n.sent, n.slow)
	for _, outcome := range bodyOutcomes {
		if n.outcomes[outcome] == 0 && !outcome.isNamed() && outcome != bodyReset {
			continue
		}
		fmt.Printf("; %s %d (%d)", outcome, n.outcomes[outcome], n.slowOutcomes[outcome])
	}
	fmt.Printf("; refused before the last byte %d; ran and closed without any answer %d; LOST at gateways that do not stop %d, without a line of their gateway %d\n", n.refusedEarly, n.silentEnds, n.elsewhere, n.unnamed)
	for _, line := range n.named {
		fmt.Println(" ", line)
	}
}

// describeBody describes a request that was not answered whole.
func (s *silenceResult) describeBody(run *silentRun) string {
	sent := "never sent whole"
	if at := s.body.lastByteAt; !at.IsZero() {
		sent = fmt.Sprintf("last byte sent %s after the signal", round(at.Sub(s.signalAt)))
	}
	return fmt.Sprintf("first byte sent %s after the signal, %s; %s; error %v; %s", round(s.sentAt.Sub(s.signalAt)), sent, s.body.plan, s.body.err, s.describe(run))
}
