package exchange

import (
	"strconv"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/resume"
)

const (
	// takenUpWithin is how long after its end a stream that is taken up shows that it had not ended.
	takenUpWithin = resume.Retention
	// maxEndedByClose is how many streams that ended by a close are remembered.
	maxEndedByClose = 1 << 12
)

// endedByClose holds the streams that this gateway lately ended as complete because their servers closed. A client that
// takes one up after the same event and gets further events shows that the close was short. It is safe for concurrent
// use; the zero value is empty.
type endedByClose struct {
	mu    sync.Mutex
	ended map[resume.Key]closedStream
	// order holds the keys from the oldest on, also of streams that are no longer held.
	order []resume.Key
}

// closedStream is a stream that ended by a close.
type closedStream struct {
	lastEvent string
	origin    resume.Origin
	at        time.Time
}

// noteEndedByClose records that the stream of an attempt was ended as complete after its last event.
func (e *endedByClose) noteEndedByClose(now time.Time, attempt resume.Key, lastEvent, service, softwareVersion string) {
	if lastEvent == "" {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended == nil {
		e.ended = map[resume.Key]closedStream{}
	}
	e.ended[attempt] = closedStream{lastEvent: lastEvent, origin: resume.Origin{Service: service, SoftwareVersion: softwareVersion}, at: now}
	e.order = append(e.order, attempt)
	for len(e.order) > maxEndedByClose || len(e.order) > 0 && now.Sub(e.ended[e.order[0]].at) >= takenUpWithin {
		delete(e.ended, e.order[0])
		e.order = e.order[1:]
	}
}

// noteEndedByClose records that the stream was ended as complete since its server closed.
func (c *call) noteEndedByClose(peer *Peer) {
	origin := peer.origin()
	c.handler.endedByClose.noteEndedByClose(c.handler.options.Now(), c.origin.key, c.stream.lastEventID, origin.Service, origin.SoftwareVersion)
}

// checkTakenUp returns what ended the stream of an attempt, and true, if it was ended after the event after which a client
// has taken it up and got further events. It does so once for each end.
func (e *endedByClose) checkTakenUp(now time.Time, attempt resume.Key, after string) (resume.Origin, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stream, found := e.ended[attempt]
	if !found || stream.lastEvent != after || now.Sub(stream.at) >= takenUpWithin {
		return resume.Origin{}, false
	}
	delete(e.ended, attempt)
	return stream.origin, true
}

// noteTakenUp records that the software which ended a stream by a close had not ended it, once a client that has taken it
// up was sent a further event.
func (c *call) noteTakenUp(peer *Peer) {
	after := c.requestInfo.ResumeAfter
	if after == "" || c.stream.lastEventID == "" || passedBefore(c.stream.lastEventID, after) {
		return
	}
	h := c.handler
	origin, short := h.endedByClose.checkTakenUp(h.options.Now(), c.origin.key, after)
	if !short {
		return
	}
	h.noteShortClose(origin, event.Event{Request: c.requestInfo.ID, Model: modelName(c.requestInfo), Host: peer.ID(),
		Reason: "a stream that ended by a close after event " + strconv.Quote(shorten(after)) + " was taken up by its client and went on"})
}
