package exchange

import (
	"context"
	"strconv"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/metric"
)

// unprovenEnd is what becomes of a response whose end nothing but a close shows.
type unprovenEnd uint8

const (
	// bodyPassedOn means that the body was passed on as its replica ended it.
	bodyPassedOn unprovenEnd = iota
	// bodyOfEndedReplica means that the replica has ended, so that its host may have closed the connection.
	bodyOfEndedReplica
	// streamEnded means that the stream was ended, since its replica serves on.
	streamEnded
	// streamNotConfirmed means that the stream was not ended: another replica may go on with it, else it
	// breaks off.
	streamNotConfirmed
	unprovenEnds
)

// String returns the value of the metric's label.
func (u unprovenEnd) String() string {
	switch u {
	case bodyOfEndedReplica:
		return "body_of_ended_replica"
	case streamEnded:
		return "stream_ended"
	case streamNotConfirmed:
		return "stream_not_confirmed"
	case bodyPassedOn, unprovenEnds:
	}
	return "body_passed_on"
}

// unprovenCounters counts the ends without proof by what became of the responses.
type unprovenCounters [unprovenEnds]tally.Counter

func newUnprovenCounters(registry *metric.Registry) unprovenCounters {
	var counters unprovenCounters
	for kind := range unprovenEnds {
		counters[kind] = registry.CountOf("unproven_ends_total", "kind", kind.String())
	}
	return counters
}

// logUnframed logs that a response which ends with its connection begins to be passed on.
func (c *call) logUnframed(peer *Peer, end bodyEnd) {
	if end == endByClose {
		c.addUnprovenEvent(event.UnframedResponse, peer, "to the client "+c.framing.String())
	}
}

// noteUnprovenEnd logs and counts the end of a response, if nothing but a close shows it.
func (c *call) noteUnprovenEnd(peer *Peer, end bodyEnd, kind unprovenEnd) {
	if end == endByClose {
		c.logUnprovenEnd(peer, kind, "")
	}
}

// noteClosedStream logs and counts the end of a stream that nothing but a close shows, with what the close is worth.
func (c *call) noteClosedStream(peer *Peer, kind unprovenEnd, proof closeProof) {
	c.logUnprovenEnd(peer, kind, ", "+proof.String())
}

func (c *call) logUnprovenEnd(peer *Peer, kind unprovenEnd, evidence string) {
	c.handler.options.Metrics.UnprovenEnds[kind].Inc(1)
	c.addUnprovenEvent(event.EndUnproven, peer, kind.String()+evidence+", to the client "+c.framing.String())
}

// checkEnd returns an error if the body of a response ended with its connection because its replica ended. One
// that leaves ends after its last response.
func (c *call) checkEnd(ctx context.Context, peer *Peer, end bodyEnd, lastConn int) error {
	if end != endByClose || peer.leaving() {
		return nil
	}
	ended := c.handler.examineCloser(ctx, peer, lastConn) == closerEnded
	if peer.service == "" {
		ctx, cancel := context.WithTimeout(ctx, startCheckTimeout)
		defer cancel()
		ended = proveLoss(ctx, peer, nil) != lossUnproven
	}
	if !ended {
		return nil
	}
	c.noteUnprovenEnd(peer, end, bodyOfEndedReplica)
	return errors.Errorf("%s ended with its response", peer.ID())
}

func (c *call) addUnprovenEvent(kind event.Kind, peer *Peer, reason string) {
	if c.stream != nil {
		reason += ", last event " + strconv.Quote(shorten(c.stream.lastEventID))
	}
	c.handler.options.Ring.Add(event.Event{Kind: kind, Request: c.requestInfo.ID, Host: peer.ID(), Model: modelName(c.requestInfo), Reason: reason})
}
