package exchange

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPrefillSpeedIsEstimatedDespiteQueueing: most prompts are queued behind others, and the
// estimate still approaches the replica's own speed, for models of any speed.
func TestPrefillSpeedIsEstimatedDespiteQueueing(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for _, perToken := range []time.Duration{time.Millisecond / 300, time.Millisecond / 40, time.Millisecond / 10} {
		s := newPrefillSpeeds()
		for range 400 {
			tokens := minSampleTokens + random.IntN(4000)
			queue := time.Duration(0)
			if random.Float64() < 0.6 {
				queue = time.Duration(random.IntN(200)) * time.Millisecond
			}
			took := initialOverhead + perToken*time.Duration(tokens) + queue
			s.learn(prefill{model: "m", tokens: tokens, began: noon}, noon.Add(took))
		}
		got := float64(s.prefillTime("m", 1000)) / float64(perToken*1000)
		is.True(got > 0.7 && got < 1.6)
	}
}

func TestUnknownModelGetsInitialSpeed(t *testing.T) {
	is := is.New(t)
	s := newPrefillSpeeds()
	is.Equal(s.prefillTime("m", 1800), time.Duration(initialPerToken)*1800)
	is.Equal(s.prefillTime("", 1800), time.Duration(0))
	is.Equal(s.prefillTime("m", 0), time.Duration(0))
}

func TestEstimatesStayWithinBounds(t *testing.T) {
	is := is.New(t)
	s := newPrefillSpeeds()
	for range 1000 {
		s.learn(prefill{model: "fast", tokens: 1000, began: noon}, noon)
		s.learn(prefill{model: "slow", tokens: 1000, began: noon}, noon.Add(time.Hour))
	}
	is.Equal(s.prefillTime("fast", 1), time.Duration(fastestPerToken))
	is.Equal(s.prefillTime("slow", 1), time.Duration(slowestPerToken))
}
