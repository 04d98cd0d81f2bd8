package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// maxFindings limits the printed findings of each kind.
const maxFindings = 5

// checker records what clients, operators and replicas observe, and the rules that this violates.
type checker struct {
	mu sync.Mutex
	// timeBounds enables the checks of time limits.
	timeBounds bool
	violations map[string][]string
	counts     map[string]int
	// runs lists, for each request that must run at most once, the replicas that ran it.
	runs map[string][]string
	// reportedNotRun holds the status of each request whose client was told that it did not run.
	reportedNotRun map[string]int
	// drainAckedAt holds when the draining of each replica was acknowledged.
	drainAckedAt map[string]time.Time
	// acked is the highest acknowledged version, ackedAt when it was acknowledged.
	acked   uint64
	ackedAt time.Time
	sent    map[uint64]string
	// accounts checks what replicas see of client accounts.
	accounts *accountChecks
	// links checks what gateways without links to replicas serve.
	links linkChecks
	// resumes checks the streams that clients take up.
	resumes resumeChecks
	// lost checks answers that end early.
	lost lostChecks
}

func newChecker() *checker {
	return &checker{
		violations: map[string][]string{}, counts: map[string]int{}, runs: map[string][]string{},
		reportedNotRun: map[string]int{}, drainAckedAt: map[string]time.Time{}, sent: map[uint64]string{},
		accounts: newAccountChecks(),
		lost:     lostChecks{runs: map[string]*replicaRun{}, byStamp: map[string]*replicaRun{}, reached: map[string]arrival{}, unframed: map[string]*replicaRun{}, closesShort: map[string]time.Time{}, causes: map[string]int{}},
		links:    linkChecks{cutAt: map[string]time.Time{}, endedAt: map[string]time.Time{}, bySecond: map[int64]*linkTries{}},
	}
}

// fail records a violated rule.
func (c *checker) fail(kind, format string, arguments ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failLocked(kind, format, arguments...)
}

func (c *checker) failLocked(kind, format string, arguments ...any) {
	at := time.Now().Format("15:04:05.000 ")
	c.violations[kind] = append(c.violations[kind], at+fmt.Sprintf(format, arguments...))
}

// late records a violated time limit, if time limits are checked.
func (c *checker) late(kind, format string, arguments ...any) {
	if c.timeBounds {
		c.fail(kind, format, arguments...)
	}
}

// count increments the counter of an event.
func (c *checker) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[what]++
}

// recordRun records that a replica starts to run a request that must run at most once.
func (c *checker) recordRun(id, replica string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id] = append(c.runs[id], replica)
	if n := len(c.runs[id]); n > 1 {
		c.failLocked("twice", "request %s ran at %v", id, c.runs[id])
	}
}

// checkAccount checks the client account that a request reached a replica with; runs reports whether
// the replica runs the request.
func (c *checker) checkAccount(id string, header http.Header, runs bool) {
	if broken := c.accounts.check(header, time.Now(), runs); broken != "" {
		c.fail("account", "request %s: %s", id, broken)
	}
}

// recordNotRun records that a client was told that its request did not run and never will.
func (c *checker) recordNotRun(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportedNotRun[id] = status
}

// recordDrain records that the draining of a replica was acknowledged.
func (c *checker) recordDrain(replica string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drainAckedAt[replica].IsZero() {
		c.drainAckedAt[replica] = time.Now()
	}
}

func (c *checker) drainAcknowledgedAt(replica string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.drainAckedAt[replica]
}

// recordSent records the content of a version before it is sent.
func (c *checker) recordSent(version uint64, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[version] = body
}

// recordAcknowledged records that a version was acknowledged.
func (c *checker) recordAcknowledged(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["acknowledged versions"]++
	c.accounts.acked(version, time.Now())
	if version > c.acked {
		c.acked, c.ackedAt = version, time.Now()
	}
}

// newest returns the highest acknowledged version and when it was acknowledged.
func (c *checker) newest() (uint64, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.acked, c.ackedAt
}

// content returns what was sent as a version.
func (c *checker) content(version uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[version]
}

// checkAtEnd runs the checks that are possible only after the run.
func (c *checker) checkAtEnd(in *installation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, status := range c.reportedNotRun {
		if runs := c.runs[id]; len(runs) > 0 {
			c.failLocked("false promise", "request %s was answered %d and ran at %v", id, status, runs)
		}
	}
	if violation := c.links.violation(); violation != "" {
		c.failLocked("recover", "%s", violation)
	}
	if violation := c.resumes.violation(); violation != "" {
		c.failLocked("lost", "%s", violation)
	}
	for _, m := range in.members {
		m.mu.Lock()
		if m.unexpectedExits > 0 {
			c.failLocked("own end", "%s ended by itself %d times: %s", m.name, m.unexpectedExits, m.unexpectedExit)
		}
		m.mu.Unlock()
	}
}

func (c *checker) findings() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []string
	for kind, list := range c.violations {
		for i, text := range list {
			if i == maxFindings {
				all = append(all, fmt.Sprintf("%s: %d more", kind, len(list)-i))
				break
			}
			all = append(all, kind+": "+text)
		}
	}
	return all
}

func (c *checker) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.counts)
}
