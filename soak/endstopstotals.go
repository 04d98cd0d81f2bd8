package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// endStopsTotal counts the ends of all streams of a measurement.
type endStopsTotal struct {
	ends map[endOfStream]int
	// lost counts those that are lost by the users' rule, knownShort those that ended short as complete although a framed
	// answer had been closed short evidenceTime before.
	lost, knownShort int
}

// add adds the end of a stream.
func (t *endStopsTotal) add(end endOfStream, lost, known bool) {
	t.ends[end]++
	t.lost += asNumber(lost)
	t.knownShort += asNumber(end == endedShort && known)
}

// otherCutOff returns how many streams were cut off that their replica wrote whole and that are not lost.
func (t endStopsTotal) otherCutOff() int {
	return t.ends[endedUnproven] + t.ends[endedAfterBreak] + t.ends[endedAtDead] + t.ends[endedAtSilent] - t.lost
}

// String describes the counts.
func (t endStopsTotal) String() string {
	var ends []string
	for _, end := range slices.Sorted(maps.Keys(t.ends)) {
		ends = append(ends, fmt.Sprintf("%s %d", end, t.ends[end]))
	}
	return fmt.Sprintf("in all: LOST %d, other cut off %d, whole %d, SHORT AS COMPLETE %d, %d of them later than %s after the first framed answer that was closed short; %s", t.lost, t.otherCutOff(), t.ends[endedWhole], t.ends[endedShort], t.knownShort, evidenceTime, strings.Join(ends, "; "))
}

// isKnownShort reports whether a stream ended once all gateways may be expected to know that answers are closed short; the
// lock is held.
func (m *endStopsMeasurement) isKnownShort(result *endStopsResult) bool {
	return !m.firstShownAt.IsZero() && result.endedAt.Sub(m.firstShownAt) > evidenceTime
}

// describeStrikes describes what was done beside planned stops; the lock is held.
func (m *endStopsMeasurement) describeStrikes() string {
	deaths, silences, atEnds := m.strikes.totals()
	kills := 0
	for _, killed := range m.killed {
		kills += len(killed)
	}
	return fmt.Sprintf("servers that died %d, that fell silent %d, right after an end %d; gateways killed %d; framed answers closed short %d", deaths, silences, atEnds, kills, m.shown)
}
