package exchange

import (
	"math"
	"sync"
	"time"
)

// How fast replicas read prompts is learned from streams that pass. A first event
// comes late for many reasons and early for none, so a low quantile of what was seen
// is taken for the replica's own speed.
const (
	// speedQuantile is the share of the times seen that lie below the estimate.
	speedQuantile = 0.25
	// speedStep is how far one sample moves an estimate, as a share of it: some
	// twenty samples halve or double it.
	speedStep = 0.06
	// initialPerToken is assumed of a model that nothing is known of: the reading rate
	// of a large model on the slowest engines met so far, 18 tokens a millisecond.
	initialPerToken = time.Millisecond / 18
	// fastestPerToken and slowestPerToken bound an estimate.
	fastestPerToken = time.Millisecond / 1000
	slowestPerToken = time.Millisecond / 2
	// initialFirst is assumed of the time to a first event beside the reading.
	initialFirst = 12 * time.Millisecond
	// learnTokens is the shortest prompt that tells a speed.
	learnTokens = 400
)

// reading is a prompt that a replica reads.
type reading struct {
	model  string
	tokens int
	began  time.Time
}

// speeds are the learned reading speeds by model; it is safe for concurrent use.
type speeds struct {
	mu sync.Mutex
	// first is the time to a first event without any reading.
	first quantile
	// perToken is the time for one prompt token, by model.
	perToken map[string]*quantile
}

func newSpeeds() *speeds {
	return &speeds{first: quantile(initialFirst), perToken: map[string]*quantile{}}
}

// readTime is how long a replica is expected to need for a part of a prompt.
func (s *speeds) readTime(model string, tokens int) time.Duration {
	if model == "" || tokens <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	per := time.Duration(initialPerToken)
	if known := s.perToken[model]; known != nil {
		per = time.Duration(*known)
	}
	return per * time.Duration(tokens)
}

// learn takes in that a prompt's first event came.
func (s *speeds) learn(r reading, now time.Time) {
	if r.model == "" {
		return
	}
	took := now.Sub(r.began)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.tokens < learnTokens {
		s.first.learn(took, time.Millisecond, time.Second)
		return
	}
	known := s.perToken[r.model]
	if known == nil {
		initial := quantile(initialPerToken)
		known = &initial
		s.perToken[r.model] = known
	}
	reading := max(took-time.Duration(s.first), 0)
	known.learn(reading/time.Duration(r.tokens), fastestPerToken, slowestPerToken)
}

// quantile is an estimate of speedQuantile of a series of times.
type quantile time.Duration

// learn moves the estimate towards the quantile by one sample, within bounds.
func (q *quantile) learn(sample, least, most time.Duration) {
	step := speedStep * speedQuantile
	if sample < time.Duration(*q) {
		step = -speedStep * (1 - speedQuantile)
	}
	next := time.Duration(float64(*q) * math.Exp(step))
	*q = quantile(min(max(next, least), most))
}
