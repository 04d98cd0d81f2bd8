package exchange

import (
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/loadview"
	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
)

// sentPrompts records the prefill times of prompts that were sent to replicas which report their
// own load. Their reports do not include the prefill backlog.
type sentPrompts struct {
	mu      sync.Mutex
	sent    map[string]time.Duration
	changed wakeup.Flag
}

func newSentPrompts() *sentPrompts {
	return &sentPrompts{sent: map[string]time.Duration{}, changed: wakeup.New()}
}

func (s *sentPrompts) add(replica string, prompt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[replica] += prompt
	s.changed.Raise()
}

func (s *sentPrompts) drain() wire.SentReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var report wire.SentReport
	for replica, prompt := range s.sent {
		report.Sent = append(report.Sent, wire.Sent{Replica: replica, ReadMS: int(prompt.Milliseconds())})
	}
	clear(s.sent)
	return report
}

// PromptsSent returns a channel that receives a value when there are prompts that DrainPrompts has
// not returned.
func (f *Fleet) PromptsSent() <-chan struct{} { return f.sentPrompts.changed.Raised() }

// DrainPrompts returns the prompts that were sent since the last call, and what was learned of
// replicas of engines with small batches.
func (f *Fleet) DrainPrompts() wire.SentReport {
	report := f.sentPrompts.drain()
	report.Replicas = f.loadReports.drain(f.bootNow())
	return report
}

// SetBacklogs sets the prefill times of the prompts of all gateways. The estimate of a replica that
// is not included stays and decreases with time. It also sets the states of replicas of engines with
// small batches; if these are invalid, nothing is set.
func (f *Fleet) SetBacklogs(totals wire.Backlogs) {
	now := f.now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.setStates(now, totals.States); err != nil {
		return
	}
	loadview.Unpack(totals, func(key uint64, backlog time.Duration) {
		if peer := f.byBacklogKey[key]; peer != nil {
			peer.setTotalBacklog(now, backlog)
		}
	})
}
