package exchange

import (
	"bytes"
	"time"

	"github.com/moorspool/moorspool/src/work"
)

// sampleEvents is the number of events after which the time per token of a stream is sampled. A
// replica that has turned slow is then noticed before its streams end.
const sampleEvents = 5

// streamTiming measures one attempt of a stream at an engine with small batches.
type streamTiming struct {
	// enabled is set for engines with small batches.
	enabled bool
	// idle is set if the replica had nothing else to read when the request was sent.
	idle bool
	// factor is the factor of the replica, usualPace the part of it that the replica told.
	factor    float64
	usualPace float64
	// since is when the last sample ended, events the number of events after it.
	since  time.Time
	events int
}

// newTiming returns the measurement of an attempt at the chosen replica.
func newTiming(choice *Choice) streamTiming {
	return streamTiming{enabled: choice.SmallBatch, idle: choice.Idle, factor: choice.Factor, usualPace: choice.UsualPace}
}

// note counts events that arrived together. Every sampleEvents it returns the mean time between two
// events since the last sample, else 0.
func (t *streamTiming) note(now time.Time, events int) time.Duration {
	if t.since.IsZero() {
		t.since = now
		return 0
	}
	t.events += events
	if t.events < sampleEvents {
		return 0
	}
	return t.sample(now)
}

// sample returns the mean time between two events since the last sample.
func (t *streamTiming) sample(now time.Time) time.Duration {
	mean := now.Sub(t.since) / time.Duration(t.events)
	t.since, t.events = now, 0
	return mean
}

// observeFirst learns from the first event of an attempt.
func (c *call) observeFirst(now time.Time, peer *Peer, prompt work.Prefill) {
	fleet := c.handler.options.Fleet
	if c.timing.enabled && c.timing.idle {
		if ratio, known := fleet.speeds.ObserveFirst(prompt, now); known {
			fleet.ObserveSpeed(peer, ratio/c.timing.usualPace)
		}
	}
	fleet.speeds.LearnPrefill(prompt, now)
}

// observeEvents learns from events of a stream that arrived together.
func (c *call) observeEvents(now time.Time, peer *Peer, events []byte) {
	if !c.timing.enabled {
		return
	}
	count := countEvents(events)
	c.outputEvents += count
	if mean := c.timing.note(now, count); mean > 0 {
		c.observeDecode(peer, mean)
	}
}

// observeDecode learns from the mean time between two events.
func (c *call) observeDecode(peer *Peer, event time.Duration) {
	fleet := c.handler.options.Fleet
	perToken := event / time.Duration(max(c.tokensPerEvent, 1))
	if ratio, known := fleet.speeds.ObserveDecode(c.requestInfo.Model, perToken); known {
		fleet.ObserveSpeed(peer, ratio/c.timing.usualPace)
	}
	fleet.speeds.LearnDecode(c.requestInfo.Model, perToken, c.timing.factor)
}

// observeOutput learns from a stream that has ended by itself. The output of a stream that its
// client resumed is not known.
func (c *call) observeOutput() {
	if !c.timing.enabled || c.requestInfo.ResumeAfter != "" {
		return
	}
	fleet := c.handler.options.Fleet
	tokens := c.outputEvents * max(c.tokensPerEvent, 1)
	fleet.outputs.Learn(c.route.Name, c.requestInfo.OutputHint, tokens)
	fleet.typical.Add(c.service, work.Estimate{
		Decode: fleet.speeds.DecodeTime(c.requestInfo.Model, tokens),
		Memory: c.requestInfo.PromptTokens + tokens,
	})
}

// countEvents returns the number of events in complete events.
func countEvents(events []byte) int {
	return bytes.Count(events, []byte("\n\n")) + bytes.Count(events, []byte("\r\n\r\n"))
}
