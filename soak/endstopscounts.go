package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// gatewayState is what a gateway does as an answer of it ends.
type gatewayState string

const (
	goesOn     gatewayState = "goes on"
	isStopping gatewayState = "stops"
	hasStarted gatewayState = "has just started"
)

// stateOf returns the state of a gateway with the given stops, for a request that was sent and had ended at two times.
func stateOf(stops []gatewayStop, sentAt, endedAt time.Time) gatewayState {
	state := goesOn
	for _, stop := range stops {
		if endedAt.Before(stop.signalAt) || endedAt.Sub(stop.signalAt) >= plannedWorkTime {
			continue
		}
		state = isStopping
		if !stop.startedAt.IsZero() && sentAt.After(stop.startedAt) {
			state = hasStarted
		}
	}
	return state
}

// endOfStream is how a measured stream ended.
type endOfStream string

const (
	// endedWhole has all events and a proper end.
	endedWhole endOfStream = "whole"
	// endedShort has a proper end and not all events, endedWrong has others than its replica wrote.
	endedShort endOfStream = "SHORT AS COMPLETE"
	endedWrong endOfStream = "WRONG EVENTS"
	// endedUnproven has no proper end although its replica ended it whole, endedAfterBreak likewise after another one had
	// broken it off.
	endedUnproven   endOfStream = "cut off, whole at its server"
	endedAfterBreak endOfStream = "cut off after a break, then whole at another server"
	// endedByReplica has no proper end since its replica broke it off.
	endedByReplica endOfStream = "broken off by its server"
	// endedAtDead and endedAtSilent are endedUnproven where the replica had ended or was silent between its end and the client's.
	endedAtDead   endOfStream = "cut off, whole at a server that then died"
	endedAtSilent endOfStream = "cut off, whole at a server that was then silent"
	// endedByDeath has no proper end since its replica ended, endedByReset since the connection of the whole run was reset,
	// endedInSilence since its replica was silent, endedByKill since its gateway was killed.
	endedByDeath   endOfStream = "cut off by the death of its server"
	endedByReset   endOfStream = "reset by its server"
	endedInSilence endOfStream = "cut off while its server was silent"
	endedByKill    endOfStream = "cut off by the kill of its gateway"
	// endedAtReset has all events and a proper end though each run that wrote the last one was reset.
	endedAtReset endOfStream = "COMPLETE AT A RESET"
	// endedAtWork was cut off while its replica was at work.
	endedAtWork endOfStream = "CUT OFF AT WORK"
	// endedRefused says that it did not run, endedRefusedRun says so and ran.
	endedRefused    endOfStream = "refused"
	endedRefusedRun endOfStream = "REFUSED THOUGH IT RAN"
	endedUnrun      endOfStream = "ended without a run"
)

// endOf returns how a stream ended.
func (r *endStopsResult) endOf(runs []*streamRun) endOfStream {
	want := ""
	for n := 1; n <= r.events; n++ {
		want += streamEvent(r.id, n, "v1")
	}
	switch status := r.got.status; {
	case status == http.StatusOK && !strings.HasPrefix(want, r.got.body):
		return endedWrong
	case status == http.StatusOK && r.got.whole && r.got.body == want:
		if allReset(runs) {
			return endedAtReset
		}
		return endedWhole
	case status == http.StatusOK && r.got.whole:
		return endedShort
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		if len(runs) > 0 {
			return endedRefusedRun
		}
		return endedRefused
	case len(runs) == 0:
		return endedUnrun
	}
	return r.cutOffBy(runs)
}

// cutOffBy returns why a stream that ran has no proper end.
func (r *endStopsResult) cutOffBy(runs []*streamRun) endOfStream {
	last := runs[len(runs)-1]
	switch {
	case r.killed:
		return endedByKill
	case last.whole && last.reset:
		return endedByReset
	case last.whole && last.server.hasDied(r.endedAt):
		return endedAtDead
	case last.whole && last.server.wasSilent(last.endedAt, r.endedAt):
		return endedAtSilent
	case last.whole && slices.ContainsFunc(runs, func(run *streamRun) bool { return run.brokeOff || run.died }):
		return endedAfterBreak
	case last.whole:
		return endedUnproven
	case last.brokeOff:
		return endedByReplica
	case last.server.hasDied(r.endedAt):
		return endedByDeath
	case last.server.wasSilent(last.begunAt, r.endedAt):
		return endedInSilence
	}
	return endedAtWork
}

// allReset reports whether a run wrote all events of a stream and each one that did was reset in place of its end.
func allReset(runs []*streamRun) bool {
	reset := false
	for _, run := range runs {
		if run.whole && !run.reset {
			return false
		}
		reset = reset || run.whole
	}
	return reset
}

// hasDied reports whether the process of a replica, nil for one that lives on, had ended at a time.
func (rep *replica) hasDied(at time.Time) bool { return rep != nil && rep.goneBy(at) }

// wasSilent reports whether a replica, nil for one that never was, was silent at some time from one to another.
func (rep *replica) wasSilent(from, to time.Time) bool {
	return rep != nil && rep.pause.activeBetween(from, to)
}

// ranTwice reports whether a stream that may run once only ran again other than from a copy of a run that had ended.
func (r *endStopsResult) ranTwice(runs []*streamRun) bool {
	begun := 0
	for _, run := range runs {
		begun += asNumber(!run.continued || run.overlaps)
	}
	return r.class != resumableKind && begun > 1
}

// endStopsCount counts the streams of a class at gateways in a state.
type endStopsCount struct {
	streams, twice int
	ends           map[endOfStream]int
	// allEvents counts those that were cut off with all their events.
	allEvents int
	// restsRefused counts the refused requests for a rest, restRefused the streams with any, stopped those of which a gateway
	// stopped a run, holderLeft those of which a replica with a copy began to leave.
	restsRefused, restRefused, stopped, holderLeft int

	named   []string
	reasons map[string]int
}

// endStopsKey is a class of streams and a state of gateways.
type endStopsKey struct {
	class string
	state gatewayState
}

// print prints how the streams ended, and writes each that has no proper end to the log.
func (m *endStopsMeasurement) print() {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts, lines, all := map[endStopsKey]*endStopsCount{}, m.in.requestLines(), endStopsTotal{ends: map[endOfStream]int{}}
	for _, result := range m.results {
		result.killed = overlapsKill(m.killed[result.gateway], result.sentAt, result.endedAt)
		state := stateOf(m.stops[result.gateway], result.sentAt, result.endedAt)
		key := endStopsKey{result.class, state}
		if counts[key] == nil {
			counts[key] = &endStopsCount{ends: map[endOfStream]int{}, reasons: map[string]int{}}
		}
		end := result.endOf(m.runs[result.id])
		all.add(end, m.count(counts[key], result, state, lines[result.id]), m.isKnownShort(result))
	}
	for _, class := range endStopsClasses {
		for _, state := range []gatewayState{goesOn, isStopping, hasStarted} {
			if n := counts[endStopsKey{class, state}]; n != nil {
				n.print(endsClass{class, state.String()})
			}
		}
	}
	total, left := m.copies.total(time.Now())
	fmt.Printf("%s; left %d\n", total, left)
	fmt.Println(m.describeStrikes())
	fmt.Println(all)
	fmt.Printf("%s: streams %d, LOST %d; stops killed at the limit %d\n", m.in.options.Measure, len(m.results), all.lost, m.kills)
}

// String returns the state.
func (s gatewayState) String() string { return string(s) }

// count counts a stream and reports whether it is lost by the users' rule; the lock is held.
func (m *endStopsMeasurement) count(n *endStopsCount, result *endStopsResult, state gatewayState, line string) bool {
	runs := m.runs[result.id]
	end := result.endOf(runs)
	n.streams++
	n.ends[end]++
	n.twice += asNumber(result.ranTwice(runs))
	cutOff := end == endedUnproven || end == endedAfterBreak
	all := parseStream(result.got.body).last == result.events
	n.allEvents += asNumber(cutOff && all)
	refused, stopped, holderLeft := m.copies.fate(result.id, runs)
	n.restsRefused += refused
	n.restRefused += asNumber(refused > 0)
	n.stopped += asNumber(stopped)
	n.holderLeft += asNumber(holderLeft)
	if end == endedWhole && !result.ranTwice(runs) {
		return false
	}
	if line == "" {
		line = "named by no line"
	}
	n.reasons[string(end)+" | "+line]++
	described := fmt.Sprintf("%s /%s at %s (%s): %s, status %d, last event %d; ended %s after it was sent; %s | %s", result.id, result.class, result.gateway.name, state, end, result.got.status, parseStream(result.got.body).last, round(result.endedAt.Sub(result.sentAt)), describeRuns(runs, result.endedAt), line)
	fmt.Fprintln(m.log, described)
	if len(n.named) < maxLostIDs && (end == endedShort || end == endedWrong || end == endedAtReset || end == endedAtWork || end == endedRefusedRun || result.ranTwice(runs)) {
		n.named = append(n.named, described)
	}
	return end == endedUnproven && state != goesOn
}

// describeRuns describes the runs of a request whose answer had ended at a time.
func describeRuns(runs []*streamRun, at time.Time) string {
	var described []string
	for _, run := range runs {
		text := fmt.Sprintf("%s from event %d to %d, ended %s after the answer", run.replica, run.after+1, run.made, round(run.endedAt.Sub(at)))
		for _, is := range []struct {
			what string
			set  bool
		}{{"from a copy", run.continued}, {"BEFORE THE FIRST ENDED", run.overlaps}, {"to the close", run.unframed}, {"whole", run.whole}, {"reset", run.reset}, {"cut by its server's death", run.died}, {"broken off", run.brokeOff}, {"stopped", run.stopped}, {"copied to a server that left", run.holderLeft}, {"cut", run.cut}} {
			if is.set {
				text += ", " + is.what
			}
		}
		described = append(described, text)
	}
	return strings.Join(described, "; ")
}

// print prints the counts of a class in a state.
func (n *endStopsCount) print(class endsClass) {
	var ends []string
	for _, end := range slices.Sorted(maps.Keys(n.ends)) {
		ends = append(ends, fmt.Sprintf("%s %d", end, n.ends[end]))
	}
	fmt.Printf("%s: %d; %s; of the cut off with all events %d; ran twice %d; rests refused %d, of %d; stopped by their gateway %d; with a copy at a server that left %d\n", class, n.streams, strings.Join(ends, "; "), n.allEvents, n.twice, n.restsRefused, n.restRefused, n.stopped, n.holderLeft)
	for _, line := range n.named {
		fmt.Println("  ", line)
	}
	for _, reason := range slices.Sorted(maps.Keys(n.reasons)) {
		fmt.Printf("  %d times in the logs: %s\n", n.reasons[reason], reason)
	}
}
