package exchange

import (
	"math"
	"sync"
	"time"
)

// The prefill speed of replicas is estimated from passing streams. A first event can be late for
// many reasons but never early, so a low quantile of the observed times is taken for the speed of
// the replica itself.
const (
	// speedQuantile is the share of the observed times that lie below the estimate.
	speedQuantile = 0.25
	// speedStep is the relative change of an estimate by one sample. About twenty samples halve or
	// double it.
	speedStep = 0.06
	// initialPerToken is assumed for a model without samples. It is the speed of a large model on
	// the slowest engine in use, 18 tokens per millisecond.
	initialPerToken = time.Millisecond / 18
	// fastestPerToken and slowestPerToken bound an estimate.
	fastestPerToken = time.Millisecond / 1000
	slowestPerToken = time.Millisecond / 2
	// initialOverhead is the initial estimate of the time to the first event without prefill.
	initialOverhead = 12 * time.Millisecond
	// minSampleTokens is the shortest prompt from which a speed is estimated.
	minSampleTokens = 400
)

// prefill is the prefill of one prompt.
type prefill struct {
	model  string
	tokens int
	began  time.Time
}

// prefillSpeeds holds the estimated prefill speeds by model. It is safe for concurrent use.
type prefillSpeeds struct {
	mu sync.Mutex
	// overhead is the time to the first event without prefill.
	overhead quantile
	// perToken is the prefill time per prompt token, by model.
	perToken map[string]*quantile
}

func newPrefillSpeeds() *prefillSpeeds {
	return &prefillSpeeds{overhead: quantile(initialOverhead), perToken: map[string]*quantile{}}
}

// prefillTime returns the time that a replica is expected to need to prefill a number of tokens.
func (s *prefillSpeeds) prefillTime(model string, tokens int) time.Duration {
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

// learn updates the estimates when the first event of a stream has arrived.
func (s *prefillSpeeds) learn(r prefill, now time.Time) {
	if r.model == "" {
		return
	}
	took := now.Sub(r.began)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.tokens < minSampleTokens {
		s.overhead.learn(took, time.Millisecond, time.Second)
		return
	}
	known := s.perToken[r.model]
	if known == nil {
		initial := quantile(initialPerToken)
		known = &initial
		s.perToken[r.model] = known
	}
	prefill := max(took-time.Duration(s.overhead), 0)
	known.learn(prefill/time.Duration(r.tokens), fastestPerToken, slowestPerToken)
}

// quantile is a running estimate of speedQuantile of a series of times.
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
