package work

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
	// fastSamples is the number of samples during which estimates of relative samples change faster,
	// since a gateway sees few requests of most models.
	fastSamples = 12
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
	// minOverhead and maxOverhead bound the time to the first event without prefill.
	minOverhead = time.Millisecond
	maxOverhead = time.Second
)

// The time to generate a token is the mean of the observed times on a logarithmic scale: unlike the
// first event, later ones are delayed by the prompts of others as a rule.
const (
	// initialDecode is assumed per token for a model without samples if there are none of any
	// model.
	initialDecode = 8 * time.Millisecond
	// decodeGain is the weight of one sample once a model has many.
	decodeGain = 0.05
	// maxDecodeError bounds the distance, on a logarithmic scale, at which a sample counts.
	maxDecodeError = 1.0
	// fastestDecode and slowestDecode bound an estimate.
	fastestDecode = 50 * time.Microsecond
	slowestDecode = time.Second
	// minDecodeSamples is the number of samples from which on the speed of a model counts as known.
	// Before that a deviating sample may come from the model as well as from the replica.
	minDecodeSamples = 5
)

// Prefill is the prefill of one prompt.
type Prefill struct {
	Model  string
	Tokens int
	Began  time.Time
	// Factor is the factor of the replica, 0 if replicas are taken to be equal.
	Factor float64
}

// Speeds holds the estimated speeds of models at a replica with factor 1. It is safe for concurrent
// use.
type Speeds struct {
	mu sync.Mutex
	// overhead is the time to the first event without prefill.
	overhead        quantile
	overheadSamples int
	// perToken is the prefill time per prompt token, by model.
	perToken map[string]*modelPrefill
	// decode is the time per generated token by model, anyDecode that of all models together.
	decode    map[string]*decodeTime
	anyDecode decodeTime
}

// modelPrefill is the prefill time per token of one model.
type modelPrefill struct {
	perToken quantile
	samples  int
}

// decodeTime is the time to generate a token; log is the logarithm of its nanoseconds.
type decodeTime struct {
	log     float64
	samples int
}

// NewSpeeds returns the speeds that are assumed before there are samples.
func NewSpeeds() *Speeds {
	return &Speeds{
		overhead: quantile(initialOverhead), perToken: map[string]*modelPrefill{},
		decode: map[string]*decodeTime{}, anyDecode: decodeTime{log: math.Log(float64(initialDecode))},
	}
}

// PrefillTime returns the time that a replica is expected to need to prefill a number of tokens.
func (s *Speeds) PrefillTime(model string, tokens int) time.Duration {
	if model == "" || tokens <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	per := time.Duration(initialPerToken)
	if known := s.perToken[model]; known != nil {
		per = time.Duration(known.perToken)
	}
	return per * time.Duration(tokens)
}

// Overhead returns the time to the first event without prefill.
func (s *Speeds) Overhead() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.overhead)
}

// LearnPrefill updates the estimates when the first event of a stream has arrived.
func (s *Speeds) LearnPrefill(r Prefill, now time.Time) {
	if r.Model == "" {
		return
	}
	took := now.Sub(r.Began)
	if r.Factor > 0 {
		took = time.Duration(float64(took) / r.Factor)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Tokens < minSampleTokens {
		s.overhead.learn(took, minOverhead, maxOverhead, r.step(s.overheadSamples))
		s.overheadSamples++
		return
	}
	known := s.perToken[r.Model]
	if known == nil {
		known = &modelPrefill{perToken: quantile(initialPerToken)}
		s.perToken[r.Model] = known
	}
	prefill := max(took-time.Duration(s.overhead), 0)
	known.perToken.learn(prefill/time.Duration(r.Tokens), fastestPerToken, slowestPerToken, r.step(known.samples))
	known.samples++
}

// step returns the relative change of an estimate by the sample, given the samples before it.
func (r *Prefill) step(samples int) float64 {
	if r.Factor > 0 && samples < fastSamples {
		return speedStep * float64(fastSamples) / float64(samples+1)
	}
	return speedStep
}

// DecodeTime returns the time that a replica is expected to need to generate a number of tokens.
func (s *Speeds) DecodeTime(model string, tokens int) time.Duration {
	if model == "" || tokens <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.decodeOf(model).perToken() * float64(tokens))
}

// ObserveDecode returns the ratio of an observed time per token to the expected one; known is false
// if the model has too few samples to tell.
func (s *Speeds) ObserveDecode(model string, perToken time.Duration) (ratio float64, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	expected := s.decodeOf(model)
	return float64(perToken) / expected.perToken(), expected.samples >= minDecodeSamples
}

// ObserveFirst returns the ratio of the observed time to a first event to the expected one; known
// is false if there are too few samples to tell.
func (s *Speeds) ObserveFirst(r Prefill, now time.Time) (ratio float64, known bool) {
	expected := s.Overhead() + s.PrefillTime(r.Model, r.Tokens)
	s.mu.Lock()
	defer s.mu.Unlock()
	samples := s.overheadSamples
	if r.Tokens >= minSampleTokens {
		samples = 0
		if model := s.perToken[r.Model]; model != nil {
			samples = min(model.samples, s.overheadSamples)
		}
	}
	return float64(now.Sub(r.Began)) / float64(expected), samples >= fastSamples
}

// LearnDecode updates the estimates of a model by the time per token at a replica with a factor.
func (s *Speeds) LearnDecode(model string, perToken time.Duration, factor float64) {
	if model == "" || perToken <= 0 || factor <= 0 {
		return
	}
	sample := math.Log(float64(perToken) / factor)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.decode[model]
	if known == nil {
		known = &decodeTime{log: s.anyDecode.log}
		s.decode[model] = known
	}
	known.learn(sample)
	s.anyDecode.learn(sample)
}

// decodeOf returns the estimate of a model, or that of all models if it has none; the lock is held.
func (s *Speeds) decodeOf(model string) decodeTime {
	if known := s.decode[model]; known != nil {
		return *known
	}
	return decodeTime{log: s.anyDecode.log}
}

func (d decodeTime) perToken() float64 { return math.Exp(d.log) }

// learn moves the estimate towards a sample.
func (d *decodeTime) learn(sample float64) {
	gain := max(decodeGain, 1/float64(d.samples+1))
	d.samples = min(d.samples+1, 1<<20)
	d.log += gain * min(max(sample-d.log, -maxDecodeError), maxDecodeError)
	d.log = min(max(d.log, math.Log(float64(fastestDecode))), math.Log(float64(slowestDecode)))
}

// quantile is a running estimate of speedQuantile of a series of times.
type quantile time.Duration

// learn moves the estimate towards the quantile by one sample, within bounds.
func (q *quantile) learn(sample, least, most time.Duration, size float64) {
	step := size * speedQuantile
	if sample < time.Duration(*q) {
		step = -size * (1 - speedQuantile)
	}
	next := time.Duration(float64(*q) * math.Exp(step))
	*q = quantile(min(max(next, least), most))
}
