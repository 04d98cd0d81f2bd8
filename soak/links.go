package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Timing of cut links: the pauses between two cuts, and how long a cut lasts.
const (
	minLinkPause    = time.Second
	maxLinkPause    = 5 * time.Second
	minLinkCut      = time.Second
	maxLinkCut      = 8 * time.Second
	linkContactTime = 3 * time.Second
)

// linkStates are the ways in which links are cut: connections hang, are reset, or live on while new ones
// are refused.
var linkStates = []string{"hang", "reset", "refuse"}

// linkChecks counts first tries while some gateways have no links to replicas.
type linkChecks struct {
	// senders holds the names of the gateways by the address from which they send.
	senders map[string]string

	mu sync.Mutex
	// cutAt holds since when the links of a gateway are cut.
	cutAt map[string]time.Time
	// endedAt holds when the last cut of a gateway ended.
	endedAt map[string]time.Time
	// bySecond holds the first tries since a gateway was cut for linkContactTime, by Unix second: in
	// some seconds no replica takes requests from anybody.
	bySecond map[int64]*linkTries
}

// linkTries counts first tries at gateways that were cut for linkContactTime, and those at the others.
type linkTries struct {
	served, sent, othersServed, othersSent int
}

// minComparedTries is how many first tries at others a second must have to be compared.
const minComparedTries = 3

// cutLinks repeatedly cuts one or more gateways from all replicas. At least one keeps its links.
func (in *installation) cutLinks(ctx context.Context, check *checker, random *rand.Rand) {
	for {
		sleep(ctx, minLinkPause+time.Duration(random.Int64N(int64(maxLinkPause-minLinkPause))))
		if ctx.Err() != nil {
			return
		}
		state := linkStates[random.IntN(len(linkStates))]
		duration := minLinkCut + time.Duration(random.Int64N(int64(maxLinkCut-minLinkCut)))
		gateways := in.gatewayNodes()
		first, count := random.IntN(len(gateways)), 1+random.IntN(len(gateways)-1)
		var cut []*member
		for i := range count {
			cut = append(cut, gateways[(first+i)%len(gateways)])
		}
		in.cutLinksOf(ctx, check, cut, state, duration)
	}
}

func (in *installation) cutLinksOf(ctx context.Context, check *checker, cut []*member, state string, duration time.Duration) {
	for _, m := range cut {
		fmt.Fprintf(m.log, "soak: %s links to replicas: %s for %s\n", time.Now().Format(time.RFC3339Nano), state, duration)
		defer in.strikes.begin(m.name, "links", false)(linkReadTime)
		_ = os.WriteFile(m.settingsFile+".links", []byte(state), 0o644)
		check.links.begin(m.name)
	}
	sleep(ctx, duration)
	for _, m := range cut {
		_ = os.Remove(m.settingsFile + ".links")
		check.links.end(m.name)
	}
}

func (l *linkChecks) begin(gateway string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cutAt[gateway] = time.Now()
}

func (l *linkChecks) end(gateway string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.cutAt, gateway)
	l.endedAt[gateway] = time.Now()
}

// isCut reports whether a gateway has lost its links.
func (l *linkChecks) isCut(gateway string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, cut := l.cutAt[gateway]
	return cut
}

// forwardTime is how long after a cut a gateway may still forward requests.
const forwardTime = 6 * time.Second

// senderOf returns the gateway that sent a request to a replica, "" if that is not known: a gateway
// without links may not see the replica's answers. Programs of earlier builds do not send from their own
// address: what their clients named is used then.
func (l *linkChecks) senderOf(request *http.Request) string {
	gateway := l.senders[hostOf(request.RemoteAddr)]
	if gateway == "" {
		gateway = request.Header.Get(gatewayHeader)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, cut := l.cutAt[gateway]; cut || time.Since(l.endedAt[gateway]) < forwardTime {
		return ""
	}
	return gateway
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// senders returns the names of the gateways by the address from which they send requests.
func (in *installation) senders() map[string]string {
	senders := map[string]string{}
	for _, m := range in.gatewayNodes() {
		senders[fmt.Sprint(processNet, m.host)] = m.name
	}
	return senders
}

// recordTry counts a first try whose first byte was sent at a time to a gateway without other faults.
func (l *linkChecks) recordTry(gateway string, firstByteAt time.Time, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tries := l.bySecond[firstByteAt.Unix()]
	if tries == nil {
		tries = &linkTries{}
		l.bySecond[firstByteAt.Unix()] = tries
	}
	if at, cut := l.cutAt[gateway]; cut {
		if firstByteAt.Sub(at) >= linkContactTime {
			tries.sent++
			tries.served += asNumber(served)
		}
		return
	}
	for _, at := range l.cutAt {
		if firstByteAt.Sub(at) >= linkContactTime {
			tries.othersSent++
			tries.othersServed += asNumber(served)
			return
		}
	}
}

// compared returns the sum over the seconds that can be compared, and how many of the tries without
// links would have been served there as often as at the others; the lock is held.
func (l *linkChecks) compared() (total linkTries, expected float64) {
	for _, tries := range l.bySecond {
		if tries.othersSent < minComparedTries {
			continue
		}
		total.served += tries.served
		total.sent += tries.sent
		total.othersServed += tries.othersServed
		total.othersSent += tries.othersSent
		expected += float64(tries.sent) * float64(tries.othersServed) / float64(tries.othersSent)
	}
	return total, expected
}

// farWorse reports whether tries without links were served less than two thirds as often as the others.
func (t *linkTries) farWorse() bool {
	return 3*t.served*t.othersSent < 2*t.othersServed*t.sent
}

func asNumber(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// violation describes that gateways without links served first tries far worse than the others, both second
// by second and over all compared seconds, "" if they did not.
func (l *linkChecks) violation() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	total, expected := l.compared()
	failed := total.sent - total.served
	if failed <= 10+total.sent/50 || float64(total.served) >= expected*2/3 || !total.farWorse() {
		return ""
	}
	return fmt.Sprintf("gateways without links to replicas served %d of %d first tries, the others %d of %d; %.0f were to be expected", total.served, total.sent, total.othersServed, total.othersSent, expected)
}

// String describes the counts.
func (l *linkChecks) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	total, _ := l.compared()
	return fmt.Sprintf("first tries without links %d of %d, elsewhere %d of %d", total.served, total.sent, total.othersServed, total.othersSent)
}
