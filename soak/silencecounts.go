package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// silenceCount counts the results of a class.
type silenceCount struct {
	sent, whole, brokenOff, failed, refused int
	// failedUnrun counts those of failed that no replica ran.
	failedUnrun int
	// lost counts answers that ended early at a gateway that was told to stop, lostElsewhere those at
	// others.
	lost, lostElsewhere int
	named               []string
	// reasons counts the lines of the gateways' logs that name lost requests, by event and reason.
	reasons map[string]int
}

// print prints the results of each class and writes each lost request to the log.
func (m *silenceMeasurement) print() {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts, lines := map[string]*silenceCount{}, m.in.requestLines()
	for i := range m.results {
		result := &m.results[i]
		class := result.class.name
		if result.gateway == m.withoutLinks() {
			class += ", forwarded"
		}
		if counts[class] == nil {
			counts[class] = &silenceCount{reasons: map[string]int{}}
		}
		m.count(counts[class], result, lines)
	}
	for _, class := range m.load.classes {
		for _, name := range []string{class.name, class.name + ", forwarded"} {
			if n := counts[name]; n != nil {
				fmt.Printf("%s: sent %d, whole %d, broken off %d, failed %d (%d of them never ran), refused %d; LOST at the gateway that stops %d, elsewhere %d\n", name, n.sent, n.whole, n.brokenOff, n.failed, n.failedUnrun, n.refused, n.lost, n.lostElsewhere)
				for _, line := range n.named {
					fmt.Println("  LOST", line)
				}
				for reason, times := range n.reasons {
					fmt.Printf("  %d times in the logs: %s\n", times, reason)
				}
			}
		}
	}
}

// count counts a result; the lock is held.
func (m *silenceMeasurement) count(n *silenceCount, result *silenceResult, lines map[string]string) {
	n.sent++
	switch {
	case result.whole:
		n.whole++
	case !result.dialed || result.status == http.StatusServiceUnavailable || result.status == http.StatusTooManyRequests:
		n.refused++
	case result.status == http.StatusOK || result.status == 0:
		n.brokenOff++
	default:
		n.failed++
		n.failedUnrun += asNumber(len(m.runs[result.id]) == 0)
	}
	run := lastRun(m.runs[result.id])
	if result.dialed && !result.whole {
		fmt.Fprintln(m.log, "not whole:", result.describe(run), "|", lines[result.id])
	}
	if !result.isLost(run) {
		return
	}
	n.lost += asNumber(result.stopping)
	n.lostElsewhere += asNumber(!result.stopping)
	reason := lines[result.id]
	if reason == "" {
		reason = "named by no line"
	}
	n.reasons[reason]++
	line := result.describe(run)
	fmt.Fprintln(m.log, "LOST", line)
	if len(n.named) < maxLostIDs {
		n.named = append(n.named, line)
	}
}

// lastRun returns the last run of a request, nil if it never ran.
func lastRun(runs []*silentRun) *silentRun {
	if len(runs) == 0 {
		return nil
	}
	return runs[len(runs)-1]
}

// isLost reports whether an answer ended early although its replica was at work on it.
func (s *silenceResult) isLost(run *silentRun) bool {
	return s.dialed && !s.whole && run != nil && run.atWork(s.endedAt) && s.endedAt.Sub(s.sentAt) < silenceTimeout-deadlineSlack
}

// atWork reports whether a replica was still at work on a run at a time, or until it was cut.
func (run *silentRun) atWork(at time.Time) bool {
	return !run.cutAt.IsZero() || !run.done || run.lastAt.After(at)
}

// describe describes a lost request.
func (s *silenceResult) describe(run *silentRun) string {
	where := "not stopping"
	if s.stopping {
		where = "stopping"
	}
	lastAt := s.lastAt
	if lastAt.IsZero() {
		lastAt = s.sentAt
	}
	return fmt.Sprintf("%s %s (%s) status %d after %d events; ended %s, %s after the signal, %s after the last byte, %s after it was sent; %s",
		s.id, s.gateway.name, where, s.status, s.events, s.endedAt.UTC().Format("15:04:05.000"), round(s.endedAt.Sub(s.signalAt)), round(s.endedAt.Sub(lastAt)), round(s.endedAt.Sub(s.sentAt)), run.describe(s.endedAt))
}

// describe describes a run of a request whose answer had ended at a time.
func (run *silentRun) describe(at time.Time) string {
	if run == nil {
		return "it did not run"
	}
	what, when := "was cut", run.cutAt
	if run.cutAt.IsZero() {
		what, when = "wrote its last part", run.lastAt
	}
	return fmt.Sprintf("%s wrote %d and %s %s after the end", run.replica, run.written, what, round(when.Sub(at)))
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// refusalLine is a line about a request that was refused, broken off, ended early or left by its client; reasonStart is
// where the reason of its end begins, and varying is what differs between requests with the same reason.
var (
	refusalLine = regexp.MustCompile(`event=(702|705|717) .*request=(q[0-9]+) .*reason="(status [0-9]+)?(.*)"`)
	reasonStart = " ms old; "
	varying     = regexp.MustCompile(`[0-9.]+:[0-9]+(->[0-9.]+:[0-9]+)?|i-[0-9]+(@[0-9]+)?|gateway-[0-9]+|event \d+|[0-9.]+ m?s`)
)

// requestLines returns the event and the reason of its end for each request that a line of a gateway names.
func (in *installation) requestLines() map[string]string {
	lines := map[string]string{}
	for _, m := range in.gatewayNodes() {
		text, err := os.ReadFile(filepath.Join(in.options.Folder, m.name, "log"))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(text), "\n") {
			if found := refusalLine.FindStringSubmatch(line); found != nil {
				_, reason, cut := strings.Cut(found[4], reasonStart)
				if !cut {
					reason = found[4]
				}
				id, text := found[2], found[1]+", "+found[3]+": "+varying.ReplaceAllString(reason, "_")
				if lines[id] != "" {
					text = lines[id] + " | " + text
				}
				lines[id] = text
			}
		}
	}
	return lines
}

// measuredID is the ID of a measured request in a line of a log.
var measuredID = regexp.MustCompile(`\bq[0-9]{8}\b`)

// namedRequest is a request and a gateway.
type namedRequest struct{ gateway, id string }

// namedRequests returns the requests that any line of each gateway's log names.
func (in *installation) namedRequests() map[namedRequest]bool {
	named := map[namedRequest]bool{}
	for _, m := range in.gatewayNodes() {
		text, err := os.ReadFile(filepath.Join(in.options.Folder, m.name, "log"))
		if err != nil {
			continue
		}
		for _, id := range measuredID.FindAllString(string(text), -1) {
			named[namedRequest{m.name, id}] = true
		}
	}
	return named
}
