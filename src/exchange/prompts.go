package exchange

import (
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/loadview"
	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
)

// prompts are those sent to replicas that tell their load themselves: what they do not
// tell is how much they have still to read.
type prompts struct {
	mu      sync.Mutex
	sent    map[string]time.Duration
	changed wakeup.Flag
}

func newPrompts() *prompts {
	return &prompts{sent: map[string]time.Duration{}, changed: wakeup.New()}
}

func (s *prompts) add(replica string, prompt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[replica] += prompt
	s.changed.Raise()
}

func (s *prompts) drain() wire.SentReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var report wire.SentReport
	for replica, prompt := range s.sent {
		report.Sent = append(report.Sent, wire.Sent{Replica: replica, ReadMS: int(prompt.Milliseconds())})
	}
	clear(s.sent)
	return report
}

// PromptsSent delivers when there are prompts that DrainPrompts has not returned.
func (f *Fleet) PromptsSent() <-chan struct{} { return f.prompts.changed.Raised() }

// DrainPrompts returns the prompts that were sent since it was last called.
func (f *Fleet) DrainPrompts() wire.SentReport { return f.prompts.drain() }

// SetBacklogs takes in how long replicas need for the prompts of all gateways. A replica
// that is not mentioned keeps its estimate, which time takes off.
func (f *Fleet) SetBacklogs(totals wire.Backlogs) {
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	loadview.Unpack(totals, func(key uint64, backlog time.Duration) {
		if peer := f.byKey[key]; peer != nil {
			peer.setBacklog(now, backlog)
		}
	})
}
