package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// maxFindings bounds the findings that are printed of one kind.
const maxFindings = 5

// checker holds what callers and replicas saw and what it breaks.
type checker struct {
	mu sync.Mutex
	// bounds is set if what came too late counts.
	bounds bool
	broken map[string][]string
	counts map[string]int
	// runs are the replicas that ran each request that may run once.
	runs map[string][]string
	// promised are the requests of which a client was told that they did not run.
	promised map[string]int
	// drained holds when a replica's leaving was acknowledged.
	drained map[string]time.Time
	// acked is the highest acknowledged version, with when.
	acked   uint64
	ackedAt time.Time
	sent    map[uint64]string
	// accounts check what replicas see of client accounts.
	accounts *accountChecks
}

func newChecker() *checker {
	return &checker{
		broken: map[string][]string{}, counts: map[string]int{}, runs: map[string][]string{},
		promised: map[string]int{}, drained: map[string]time.Time{}, sent: map[uint64]string{},
		accounts: newAccountChecks(),
	}
}

// fail notes something that broke a promise.
func (c *checker) fail(kind, format string, arguments ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failLocked(kind, format, arguments...)
}

func (c *checker) failLocked(kind, format string, arguments ...any) {
	at := time.Now().Format("15:04:05.000 ")
	c.broken[kind] = append(c.broken[kind], at+fmt.Sprintf(format, arguments...))
}

// late notes that something came later than promised.
func (c *checker) late(kind, format string, arguments ...any) {
	if c.bounds {
		c.fail(kind, format, arguments...)
	}
}

// count counts something that was seen.
func (c *checker) count(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[what]++
}

// ran notes that a replica begins a request that may run once.
func (c *checker) ran(id, replica string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id] = append(c.runs[id], replica)
	if n := len(c.runs[id]); n > 1 {
		c.failLocked("twice", "request %s ran at %v", id, c.runs[id])
	}
}

// account checks what a replica sees of a request's client account; runs says whether it runs the
// request.
func (c *checker) account(id string, header http.Header, runs bool) {
	if broken := c.accounts.see(header, time.Now(), runs); broken != "" {
		c.fail("account", "request %s: %s", id, broken)
	}
}

// promise notes that a client was told that its request has not run and never will.
func (c *checker) promise(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.promised[id] = status
}

// drain notes that a replica's leaving was acknowledged.
func (c *checker) drain(replica string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drained[replica].IsZero() {
		c.drained[replica] = time.Now()
	}
}

func (c *checker) drainedAt(replica string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.drained[replica]
}

// send notes a version's content before it goes out.
func (c *checker) send(version uint64, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[version] = body
}

// ack notes that a version was acknowledged.
func (c *checker) ack(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["acknowledged versions"]++
	c.accounts.acked(version, time.Now())
	if version > c.acked {
		c.acked, c.ackedAt = version, time.Now()
	}
}

// newest returns the highest acknowledged version, with when it was.
func (c *checker) newest() (uint64, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.acked, c.ackedAt
}

// content returns what was sent under a version.
func (c *checker) content(version uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[version]
}

// finish checks what can be told only at the end.
func (c *checker) finish(in *installation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, status := range c.promised {
		if runs := c.runs[id]; len(runs) > 0 {
			c.failLocked("false promise", "request %s was answered %d and ran at %v", id, status, runs)
		}
	}
	for _, m := range in.members {
		m.mu.Lock()
		if m.ownEnds > 0 {
			c.failLocked("own end", "%s ended by itself %d times", m.name, m.ownEnds)
		}
		m.mu.Unlock()
	}
}

func (c *checker) findings() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []string
	for kind, list := range c.broken {
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
