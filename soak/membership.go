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

// Time limits of the membership check at the end of a run.
const (
	// membershipTimeout is how long after the last fault every control node may take to become a
	// member that the leader hears; normal recovery is many times faster.
	membershipTimeout = 30 * time.Second
	// metricsInterval is the time between two checks: metrics are updated once a second.
	metricsInterval = 500 * time.Millisecond
	// metricsTimeout limits the reading of one process's metrics.
	metricsTimeout = time.Second
)

// membership is a control node's view of the membership, from its metrics.
type membership struct {
	member      bool
	leading     bool
	voters      int
	votersHeard int
}

// checkMembership checks that every control node is a member and that the leader hears all voters.
func (in *installation) checkMembership(check *checker) {
	end := time.Now().Add(membershipTimeout)
	for {
		reason := in.membershipGap()
		if reason == "" {
			check.count("membership whole")
			return
		}
		if time.Now().After(end) {
			check.fail("membership", "%s", reason)
			return
		}
		time.Sleep(metricsInterval)
	}
}

// membershipGap describes what is missing from a complete membership, "" if nothing is.
func (in *installation) membershipGap() string {
	hasLeader := false
	for _, m := range in.controlNodes() {
		seen, err := in.membershipOf(m)
		switch {
		case err != nil:
			return fmt.Sprintf("%s gives no metrics: %v", m.name, err)
		case !seen.member:
			return m.name + " is no member"
		case seen.leading && (seen.voters != voterCount || seen.votersHeard != seen.voters):
			return fmt.Sprintf("%s leads and hears %d of %d voters", m.name, seen.votersHeard, seen.voters)
		}
		hasLeader = hasLeader || seen.leading
	}
	if !hasLeader {
		return "no control node leads"
	}
	return ""
}

func (in *installation) membershipOf(m *member) (membership, error) {
	client := http.Client{Timeout: metricsTimeout}
	response, err := client.Get("http://" + in.processAddress(m, in.adminPort()) + "/metrics")
	if err != nil {
		return membership{}, err
	}
	defer response.Body.Close()
	return readMembership(response.Body)
}

// readMembership parses the membership gauges from a process's metrics.
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
