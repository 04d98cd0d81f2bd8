package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

// Times of the rule LOST.
const (
	// applyTime is how long after its acknowledgement, or after a SIGHUP, a change may take to be in force, applySlack how
	// much longer a change counts as planned work.
	applyTime  = 2 * time.Second
	applySlack = time.Second
	// contactBefore is how long a gateway must have run without a stop or a start to be in touch.
	contactBefore = 3 * time.Second
	// keptAllowed is how many kept connections may be closed under requests that were passed on.
	keptAllowed = 3
	// changeFactor is how much more often than at other times a gateway may cut requests next to a change.
	changeFactor = 3
	// usedPart is the part of its time, in tenths, from which on a request does not count next to a change.
	usedPart = 7
)

// sentChange is a change of the configuration: when it was sent and when it was acknowledged.
type sentChange struct{ sentAt, acknowledgedAt time.Time }

// plannedWork is what was done to gateways.
type plannedWork struct {
	stops   map[*member][]gatewayStop
	hangups map[*member][]time.Time
	changes []sentChange
}

// partsOutcome is how a request ended.
type partsOutcome string

const (
	partsWhole    partsOutcome = "whole"
	partsNoConn   partsOutcome = "no connection"
	partsLeft     partsOutcome = "left by its client"
	partsAnswered partsOutcome = "answered with a failure"
	// partsRefusedRun says that the request did not run, and it has; partsShort looks complete and is not what its server
	// wrote.
	partsRefusedRun partsOutcome = "REFUSED THOUGH IT RAN"
	partsShort      partsOutcome = "NOT THE ANSWER, AS COMPLETE"
	// partsUnsent was closed before the client had sent all of it, partsCrossed was closed without having been passed on.
	partsUnsent    partsOutcome = "not sent whole"
	partsCrossed   partsOutcome = "closed, not passed on"
	partsBrokenOff partsOutcome = "broken off by its server"
	partsTimeOver  partsOutcome = "time over"
	partsAtLimit   partsOutcome = "cut off at the limit"
	// partsUnproven is an answer with neither a length nor chunks that its server had written whole, whatever became of the
	// request for its rest.
	partsUnproven partsOutcome = "whole at its server, which gave neither a length nor chunks"
	// partsCut was passed on and cut off, partsUnread was read, not passed on and closed too late.
	partsCut    partsOutcome = "CUT OFF"
	partsUnread partsOutcome = "READ AND CLOSED"
)

// isCut reports whether a request with the outcome counts for the parts of LOST.
func (o partsOutcome) isCut() bool { return o == partsCut || o == partsUnread }

// outcome returns how a request ended, with the runs of it.
func (w *plannedWork) outcome(r *partsResult, runs []*partsRun, limit time.Duration) partsOutcome {
	answered := r.whole && r.status != http.StatusOK
	promises := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
	switch {
	case r.complete:
		return partsWhole
	case r.sentAt.IsZero():
		return partsNoConn
	case r.left:
		return partsLeft
	case answered && promises && len(runs) > 0:
		return partsRefusedRun
	case answered:
		return partsAnswered
	case r.whole:
		return partsShort
	case r.lastByteAt.IsZero():
		return partsUnsent
	case r.endedAt.Sub(r.sentAt) >= r.class.timeout-deadlineSlack:
		return partsTimeOver
	case len(runs) == 0 && r.endedAt.Sub(r.lastByteAt) > lossSlack && !r.second:
		return partsUnread
	case len(runs) == 0:
		return partsCrossed
	}
	last := countedRun(runs, r.stamp)
	switch {
	case last.brokeOff, last.serverHasEnded(r.endedAt) && !last.whole:
		return partsBrokenOff
	case w.isAtLimit(r, last, limit):
		return partsAtLimit
	case !last.cut && slices.ContainsFunc(runs, func(run *partsRun) bool { return run.whole && run.unframed }):
		return partsUnproven
	}
	return partsCut
}

// countedRun returns the run by which an end is judged: the one that went on for longest, without attempts that were
// aborted as another one beside them was answered. stamp names the run that began the answer, "" if none did.
func countedRun(runs []*partsRun, stamp string) *partsRun {
	var last *partsRun
	for _, run := range runs {
		aborted := slices.ContainsFunc(runs, func(other *partsRun) bool { return run != other && run.gaveWayTo(other, stamp) })
		if !aborted && (last == nil || !last.endedAt.IsZero() && (run.endedAt.IsZero() || run.endedAt.After(last.endedAt))) {
			last = run
		}
	}
	return last
}

// gaveWayTo reports whether a run gave way to another one beside it, which began the answer, or had written something when
// this one was cut without.
func (run *partsRun) gaveWayTo(other *partsRun, stamp string) bool {
	beside := (run.endedAt.IsZero() || other.begunAt.Before(run.endedAt)) && (other.endedAt.IsZero() || other.endedAt.After(run.begunAt))
	answered := other.made > other.after || other.whole || other.brokeOff
	return beside && run.after == other.after && (stampOf(other.replica, other.id) == stamp || run.cut && run.made == run.after && answered)
}

// isAtLimit reports whether a gateway that stops may have cut a run off at its limit.
func (w *plannedWork) isAtLimit(r *partsResult, run *partsRun, limit time.Duration) bool {
	atWork := run.endedAt.IsZero() || run.cut || run.endedAt.After(r.endedAt)
	return slices.ContainsFunc(w.stops[r.gateway], func(stop gatewayStop) bool {
		since := r.endedAt.Sub(stop.signalAt)
		return atWork && since >= limit*5/6 && since <= limit+time.Second && !r.lastByteAt.After(stop.signalAt.Add(lastRequestTime))
	})
}

// besideStop reports whether an end counts for a stop of its gateway.
func (w *plannedWork) besideStop(r *partsResult) bool {
	return slices.ContainsFunc(w.stops[r.gateway], func(stop gatewayStop) bool {
		return !r.endedAt.Before(stop.signalAt) && r.endedAt.Sub(stop.signalAt) < plannedWorkTime
	})
}

// besideHangup reports whether an end counts for a SIGHUP of its gateway.
func (w *plannedWork) besideHangup(r *partsResult) bool {
	return slices.ContainsFunc(w.hangups[r.gateway], func(at time.Time) bool {
		return !r.sentAt.After(at.Add(applyTime)) && !r.endedAt.Before(at)
	})
}

// besideChange reports whether a time counts for a change.
func (w *plannedWork) besideChange(at time.Time) bool {
	return slices.ContainsFunc(w.changes, func(c sentChange) bool {
		return !at.Before(c.sentAt) && at.Before(c.acknowledgedAt.Add(applyTime+applySlack))
	})
}

// usedItsTime reports whether a request had used seven tenths of its time.
func (r *partsResult) usedItsTime() bool {
	return r.endedAt.Sub(r.sentAt)*10 >= r.class.timeout*usedPart
}

// isCalm reports whether the gateway of a request was neither stopped nor started from contactBefore before it until its
// end.
func (w *plannedWork) isCalm(r *partsResult) bool {
	return !slices.ContainsFunc(w.stops[r.gateway], func(stop gatewayStop) bool {
		backAt := stop.startedAt
		return r.endedAt.After(stop.signalAt) && (backAt.IsZero() || r.sentAt.Before(backAt.Add(contactBefore)))
	})
}

// closesKept reports whether a kept connection was closed without an answer under a request that was passed on.
func (w *plannedWork) closesKept(r *partsResult, outcome partsOutcome, runs []*partsRun) bool {
	return (outcome == partsCut || outcome == partsUnproven) && r.reused && r.status == 0 && len(runs) > 0 && w.isCalm(r)
}

// partsTotals are the counts of a measurement.
type partsTotals struct {
	requests, stopPlain, stopStreams, hangup, changes, kept, unread, otherCuts int
	// exposed counts the requests that ended beside a stop, a SIGHUP, a change, and those on kept connections.
	exposedStop, exposedHangup, exposedChange, exposedKept int
	// keptPartial counts the answers that were cut off on kept connections after their head.
	keptPartial int
	// unproven counts the answers with neither a length nor chunks: all, beside a stop, beside a SIGHUP, on kept connections of
	// calm gateways, and those that are no streams.
	unproven, unprovenAtStop, unprovenAtHangup, unprovenKept, unprovenPlain int
	// unprovenLost counts those beside a stop or a SIGHUP.
	unprovenLost int
	outcomes     map[string]map[partsOutcome]int
}

// add counts a request.
func (t *partsTotals) add(w *plannedWork, r *partsResult, runs []*partsRun, outcome partsOutcome) {
	if t.outcomes[r.class.name] == nil {
		t.outcomes[r.class.name] = map[partsOutcome]int{}
	}
	t.outcomes[r.class.name][outcome]++
	t.requests++
	stop, hangup, change := w.besideStop(r), w.besideHangup(r), w.besideChange(r.endedAt)
	t.exposedStop += asNumber(stop)
	t.exposedHangup += asNumber(hangup)
	t.exposedChange += asNumber(change)
	t.exposedKept += asNumber(r.reused && len(runs) > 0)
	t.kept += asNumber(w.closesKept(r, outcome, runs))
	if outcome == partsUnproven {
		t.unproven++
		t.unprovenAtStop += asNumber(stop)
		t.unprovenAtHangup += asNumber(hangup)
		t.unprovenLost += asNumber(stop || hangup)
		t.unprovenKept += asNumber(r.reused && w.isCalm(r))
		t.unprovenPlain += asNumber(!r.class.isStream())
	}
	if !outcome.isCut() {
		return
	}
	t.unread += asNumber(outcome == partsUnread)
	t.stopPlain += asNumber(stop && !r.class.isStream())
	t.stopStreams += asNumber(stop && r.class.isStream())
	t.hangup += asNumber(hangup)
	t.changes += asNumber(change)
	t.keptPartial += asNumber(r.reused && r.status != 0)
	t.otherCuts += asNumber(!stop && !hangup && !change)
}

// lostToChanges returns how many of the cut requests count next to changes: those of gateways that cut more than
// changeFactor times as often then as at other times. began and ended bound the time that is compared.
func (w *plannedWork) lostToChanges(cut []*partsResult, began, ended time.Time) int {
	const step = 50 * time.Millisecond
	inside, outside := 0, 0
	for at := began; at.Before(ended); at = at.Add(step) {
		if w.besideChange(at) {
			inside++
		} else {
			outside++
		}
	}
	type cuts struct{ inside, outside int }
	byGateway := map[*member]*cuts{}
	for _, r := range cut {
		if byGateway[r.gateway] == nil {
			byGateway[r.gateway] = &cuts{}
		}
		switch {
		case !w.besideChange(r.endedAt):
			byGateway[r.gateway].outside++
		case !r.usedItsTime():
			byGateway[r.gateway].inside++
		}
	}
	lost := 0
	for _, n := range byGateway {
		if n.inside*outside > changeFactor*n.outside*inside {
			lost += n.inside
		}
	}
	return lost
}

// print prints one line for each part, and writes each request that was not answered whole to the log.
func (m *partsMeasurement) print() {
	m.mu.Lock()
	defer m.mu.Unlock()
	totals, lines := &partsTotals{outcomes: map[string]map[partsOutcome]int{}}, m.in.requestLines()
	var cut []*partsResult
	var named []string
	began, ended := time.Now(), time.Time{}
	for _, r := range m.results {
		runs := m.runs[r.id]
		outcome := m.work.outcome(r, runs, m.in.stop.limit)
		totals.add(&m.work, r, runs, outcome)
		if !r.sentAt.IsZero() && r.sentAt.Before(began) {
			began = r.sentAt
		}
		if r.endedAt.After(ended) {
			ended = r.endedAt
		}
		if outcome.isCut() {
			cut = append(cut, r)
		}
		if outcome == partsWhole || outcome == partsNoConn {
			continue
		}
		described := fmt.Sprintf("%s: %s | %s", outcome, m.describe(r, runs), lines[r.id])
		fmt.Fprintln(m.log, described)
		if len(named) < 2*maxLostIDs && (outcome.isCut() || outcome == partsRefusedRun || outcome == partsShort) {
			named = append(named, described)
		}
	}
	totals.print(m.work.lostToChanges(cut, began, ended))
	for _, line := range named {
		fmt.Println("  ", line)
	}
	counts, left := m.copies.total(time.Now())
	fmt.Printf("%s; left %d; stops %d, killed at the limit %d; changes %d\n", counts, left, m.countStops(), m.kills, len(m.work.changes))
}

// countStops returns how often gateways were stopped; the lock is held.
func (m *partsMeasurement) countStops() int {
	stops := 0
	for _, of := range m.work.stops {
		stops += len(of)
	}
	return stops
}

// describe describes a request and its runs; the lock is held.
func (m *partsMeasurement) describe(r *partsResult, runs []*partsRun) string {
	beside := ""
	for _, is := range []struct {
		what string
		set  bool
	}{{" stop", m.work.besideStop(r)}, {" SIGHUP", m.work.besideHangup(r)}, {" change", m.work.besideChange(r.endedAt)}, {" kept connection", r.reused}, {" second of two", r.second}, {" taken up", r.after > 0}, {" no links", r.gateway == m.withoutLinks()}} {
		if is.set {
			beside += is.what
		}
	}
	text := fmt.Sprintf("%s /%s at %s (%s ) status %d after %d events, %s; sent %s, whole after %s, ended after %s; error %v", r.id, r.class.letter, r.gateway.name, beside, r.status, parseEvents(r.body), r.plan, r.sentAt.UTC().Format("15:04:05.000"), round(r.lastByteAt.Sub(r.sentAt)), round(r.endedAt.Sub(r.sentAt)), r.err)
	for _, run := range runs {
		text += fmt.Sprintf("; %s, early %v: %s", run.framing, run.early, describeRuns([]*streamRun{&run.streamRun}, r.endedAt))
	}
	return text
}

// print prints the counts.
func (t *partsTotals) print(changes int) {
	for _, class := range partsClasses {
		text := ""
		for _, outcome := range slices.Sorted(maps.Keys(t.outcomes[class.name])) {
			text += fmt.Sprintf("; %s %d", outcome, t.outcomes[class.name][outcome])
		}
		fmt.Printf("%s%s\n", class.name, text)
	}
	fmt.Printf("beside stops, no streams: LOST %d; streams: LOST %d; of %d requests\n", t.stopPlain, t.stopStreams, t.exposedStop)
	fmt.Printf("beside SIGHUPs: LOST %d of %d\n", t.hangup, t.exposedHangup)
	fmt.Printf("beside changes: LOST %d, cut off %d of %d\n", changes, t.changes, t.exposedChange)
	fmt.Printf("kept connections: closed without an answer %d of %d, LOST %v; cut off after the head %d\n", t.kept, t.exposedKept, t.kept > keptAllowed, t.keptPartial)
	fmt.Printf("read, not passed on, closed later than %s: LOST %d of %d\n", lossSlack, t.unread, t.requests)
	fmt.Printf("cut off at other times, which the rule does not count: %d\n", t.otherCuts)
	fmt.Printf("neither a length nor chunks and cut off at its end: LOST %d of %d, beside stops %d, beside SIGHUPs %d, on kept connections of calm gateways %d, no streams %d\n", t.unprovenLost, t.unproven, t.unprovenAtStop, t.unprovenAtHangup, t.unprovenKept, t.unprovenPlain)
}
