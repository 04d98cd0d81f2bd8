package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The bounds of the look at the membership at a run's end.
const (
	// repairTime is how long after the last fault every control node may take to be a
	// member and heard; it is many times what that takes.
	repairTime = 30 * time.Second
	// metricsPause is the time between two looks: metrics are brought up to date once a second.
	metricsPause = 500 * time.Millisecond
	// metricsTimeout bounds the reading of one process's metrics.
	metricsTimeout = time.Second
)

// membership is what a control node says of the membership on its metrics address.
type membership struct {
	member      bool
	leading     bool
	voters      int
	votersHeard int
}

// repaired checks that every control node is let in and that the leader hears all voters.
func (in *installation) repaired(check *checker) {
	end := time.Now().Add(repairTime)
	for {
		reason := in.unrepaired()
		if reason == "" {
			check.count("membership whole")
			return
		}
		if time.Now().After(end) {
			check.fail("membership", "%s", reason)
			return
		}
		time.Sleep(metricsPause)
	}
}

// unrepaired says what the membership lacks, "" if nothing.
func (in *installation) unrepaired() string {
	led := false
	for _, m := range in.controlNodes() {
		seen, err := in.membershipOf(m)
		switch {
		case err != nil:
			return fmt.Sprintf("%s gives no metrics: %v", m.name, err)
		case !seen.member:
			return m.name + " is no member"
		case seen.leading && (seen.voters != wantedVoters || seen.votersHeard != seen.voters):
			return fmt.Sprintf("%s leads and hears %d of %d voters", m.name, seen.votersHeard, seen.voters)
		}
		led = led || seen.leading
	}
	if !led {
		return "no control node leads"
	}
	return ""
}

func (in *installation) membershipOf(m *member) (membership, error) {
	client := http.Client{Timeout: metricsTimeout}
	response, err := client.Get("http://" + in.inner(m, in.adminPort()) + "/metrics")
	if err != nil {
		return membership{}, err
	}
	defer response.Body.Close()
	return readMembership(response.Body)
}

// readMembership finds the gauges of the membership in a process's metrics.
func readMembership(from io.Reader) (membership, error) {
	gauges := map[string]float64{}
	lines := bufio.NewScanner(from)
	for lines.Scan() {
		name, text, found := strings.Cut(lines.Text(), " ")
		if !found || strings.HasPrefix(name, "#") {
			continue
		}
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			gauges[strings.TrimPrefix(name, "moorspool_control_")] = value
		}
	}
	seen := membership{
		member:      gauges["member"] == 1,
		leading:     gauges["leading"] == 1,
		voters:      int(gauges["voters"]),
		votersHeard: int(gauges["voters_heard"]),
	}
	return seen, lines.Err()
}
