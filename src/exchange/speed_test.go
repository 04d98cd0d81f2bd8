package exchange

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReadingSpeedsAreLearnedThroughQueues: most prompts wait behind others, and the
// estimate still comes near the replica's own speed, for models of any speed.
func TestReadingSpeedsAreLearnedThroughQueues(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for _, perToken := range []time.Duration{time.Millisecond / 300, time.Millisecond / 40, time.Millisecond / 10} {
		s := newSpeeds()
		for range 400 {
			tokens := learnTokens + random.IntN(4000)
			queue := time.Duration(0)
			if random.Float64() < 0.6 {
				queue = time.Duration(random.IntN(200)) * time.Millisecond
			}
			took := initialFirst + perToken*time.Duration(tokens) + queue
			s.learn(reading{model: "m", tokens: tokens, began: noon}, noon.Add(took))
		}
		got := float64(s.readTime("m", 1000)) / float64(perToken*1000)
		is.True(got > 0.7 && got < 1.6)
	}
}

func TestAnUnknownModelIsTakenForASlowOne(t *testing.T) {
	is := is.New(t)
	s := newSpeeds()
	is.Equal(s.readTime("m", 1800), time.Duration(initialPerToken)*1800)
	is.Equal(s.readTime("", 1800), time.Duration(0))
	is.Equal(s.readTime("m", 0), time.Duration(0))
}

func TestEstimatesStayWithinBounds(t *testing.T) {
	is := is.New(t)
	s := newSpeeds()
	for range 1000 {
		s.learn(reading{model: "fast", tokens: 1000, began: noon}, noon)
		s.learn(reading{model: "slow", tokens: 1000, began: noon}, noon.Add(time.Hour))
	}
	is.Equal(s.readTime("fast", 1), time.Duration(fastestPerToken))
	is.Equal(s.readTime("slow", 1), time.Duration(slowestPerToken))
}
