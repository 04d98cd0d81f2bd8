package work

import (
	"math"
	"sync"
)

const (
	// outputGain is the weight of one output once a route has many.
	outputGain = 0.02
	// initialOutputShare is the share of the largest allowed output that is expected of a route
	// without samples.
	initialOutputShare = 0.25
	// initialSpread and initialHintSpread are the mean distances of outputs from their route's
	// typical output and from their hints, on a logarithmic scale, before there are samples.
	initialSpread     = 1.0
	initialHintSpread = 0.7
	// minSpread keeps a route whose outputs are all alike from ignoring every hint, or the reverse.
	minSpread = 0.05
	// maxOutputError bounds the distance, on a logarithmic scale, at which an output counts.
	maxOutputError = 2.0
)

// Outputs estimates the length of outputs by route. It is safe for concurrent use.
type Outputs struct {
	mu     sync.Mutex
	routes map[string]*routeOutput
}

// routeOutput is what is known of the outputs of one route, on a logarithmic scale.
type routeOutput struct {
	typical float64
	// spread is the mean distance of outputs from typical, hintSpread that from their hints.
	spread     float64
	hintSpread float64
	samples    int
	hints      int
}

// NewOutputs returns estimates without samples.
func NewOutputs() *Outputs { return &Outputs{routes: map[string]*routeOutput{}} }

// Expected returns the expected output in tokens, given the client's hint and the largest allowed
// output, each 0 if unknown. Hint and typical output are weighed by how far off each one was.
func (o *Outputs) Expected(route string, hint, most int) int {
	o.mu.Lock()
	known := o.routes[route]
	expected := 0.0
	switch {
	case known == nil && hint > 0:
		expected = float64(hint)
	case known == nil:
		expected = initialOutputShare * float64(most)
	default:
		expected = known.expected(hint)
	}
	o.mu.Unlock()
	tokens := max(int(math.Round(expected)), 1)
	if most > 0 {
		tokens = min(tokens, most)
	}
	return tokens
}

func (r *routeOutput) expected(hint int) float64 {
	if hint <= 0 {
		return math.Exp(r.typical)
	}
	weight := r.spread * r.spread / (r.spread*r.spread + r.hintSpread*r.hintSpread)
	return math.Exp(weight*math.Log(float64(hint)) + (1-weight)*r.typical)
}

// Learn adds the output of a stream that has ended by itself.
func (o *Outputs) Learn(route string, hint, tokens int) {
	if tokens <= 0 {
		return
	}
	sample := math.Log(float64(tokens))
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.routes[route]
	if known == nil {
		known = &routeOutput{typical: sample, spread: initialSpread, hintSpread: initialHintSpread}
		o.routes[route] = known
	}
	known.learn(sample, hint)
}

func (r *routeOutput) learn(sample float64, hint int) {
	distance := min(max(sample-r.typical, -maxOutputError), maxOutputError)
	r.spread = max(approach(r.spread, math.Abs(distance), r.samples), minSpread)
	r.typical += gain(r.samples) * distance
	r.samples++
	if hint <= 0 {
		return
	}
	miss := min(math.Abs(sample-math.Log(float64(hint))), maxOutputError)
	r.hintSpread = max(approach(r.hintSpread, miss, r.hints), minSpread)
	r.hints++
}

// gain returns the weight of a sample, given the number of samples before it.
func gain(samples int) float64 { return max(outputGain, 1/float64(samples+4)) }

func approach(estimate, sample float64, samples int) float64 {
	return estimate + gain(samples)*(sample-estimate)
}
