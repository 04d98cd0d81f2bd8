package exchange

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

// streamBuffer is how much of a stream is read at once.
const streamBuffer = 16 << 10

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// eventStream cuts a stream into whole events, so that one that breaks off can
// be resumed, or at least never ends in the middle of an event as if complete.
type eventStream struct {
	// begun is set once the client's answer has begun.
	begun bool
	// last is the ID of the last event passed on.
	last    string
	pending []byte
}

// take adds bytes and returns the whole events among what is there.
func (s *eventStream) take(data []byte) []byte {
	s.pending = append(s.pending, data...)
	end := lastEventEnd(s.pending)
	if end == 0 {
		return nil
	}
	whole := bytes.Clone(s.pending[:end])
	s.pending = append(s.pending[:0], s.pending[end:]...)
	if id := lastID(whole); id != "" {
		s.last = id
	}
	return whole
}

// rest returns what follows the last whole event and forgets it.
func (s *eventStream) rest() []byte {
	rest := s.pending
	s.pending = nil
	return rest
}

// lastEventEnd returns the place after the last blank line, 0 if there is none.
func lastEventEnd(data []byte) int {
	end := 0
	if at := bytes.LastIndex(data, []byte("\n\n")); at >= 0 {
		end = at + 2
	}
	if at := bytes.LastIndex(data, []byte("\r\n\r\n")); at >= 0 && at+4 > end {
		end = at + 4
	}
	return end
}

// lastID returns the last id line of whole events.
func lastID(events []byte) string {
	id := ""
	for _, line := range strings.Split(string(events), "\n") {
		if value, found := strings.CutPrefix(line, "id:"); found {
			id = strings.TrimSpace(value)
		}
	}
	return id
}

func (c *call) resumeAfter() string {
	if c.stream != nil && c.stream.last != "" {
		return c.stream.last
	}
	return c.facts.ResumeAfter
}

// passStream passes a stream's events on as they come. unread is the part of
// the prompt that counts as not read until the first event; prompt is what is read.
func (c *call) passStream(ctx context.Context, peer *Peer, a *answer, dog *watchdog, unread *time.Duration, prompt reading) outcome {
	if c.stream == nil {
		c.stream = &eventStream{}
	}
	if a.response.StatusCode != http.StatusOK {
		if !c.stream.begun {
			return c.passWhole(ctx, peer, a)
		}
		a.abort()
		c.reason += "; " + peer.ID() + " did not resume the stream: " + a.response.Status
		return unknown
	}
	c.stream.pending = nil
	buffer := make([]byte, streamBuffer)
	for {
		n, err := a.response.Body.Read(buffer)
		dog.heard()
		if n > 0 && prompt.tokens > 0 {
			c.handler.options.Fleet.speeds.learn(prompt, c.handler.options.Now())
			prompt.tokens = 0
		}
		if n > 0 && *unread > 0 {
			peer.read(*unread)
			*unread = 0
		}
		if whole := c.stream.take(buffer[:n]); len(whole) > 0 {
			c.pauses.note(c.handler.options.Now(), peer.ID())
			if !c.passEvents(a, whole) {
				a.abort()
				return cut
			}
		}
		switch {
		case err == io.EOF:
			return c.endStream(peer, a)
		case err != nil || len(c.stream.pending) > maxEvent:
			return c.streamBroke(ctx, peer, a, err)
		}
	}
}

// passEvents writes whole events; it reports false if the client is gone.
func (c *call) passEvents(a *answer, whole []byte) bool {
	if !c.stream.begun {
		c.copyHeader(a.response.Header)
		c.stream.begun = true
		c.begin(a.response.StatusCode)
	}
	if _, err := c.writer.Write(whole); err != nil {
		c.reason += "; the client could not be written to"
		return false
	}
	return http.NewResponseController(c.writer).Flush() == nil
}

// endStream ends the client's answer after the replica's last byte.
func (c *call) endStream(peer *Peer, a *answer) outcome {
	if rest := c.stream.rest(); len(rest) > 0 || !c.stream.begun {
		if !c.passEvents(a, rest) {
			a.abort()
			return cut
		}
	}
	a.finish(c.handler.options.Now())
	peer.succeeded()
	return answered
}

func (c *call) streamBroke(ctx context.Context, peer *Peer, a *answer, err error) outcome {
	a.abort()
	c.stream.pending = nil
	if c.left() {
		c.reason += "; stopped after event " + c.stream.last
		return unknown
	}
	c.reason += "; " + peer.ID() + " broke the stream off after event " + c.stream.last
	if err != nil {
		c.reason += ": " + err.Error()
	}
	if ctx.Err() == nil {
		c.broke = err != nil
		peer.failed(c.handler.options.Now(), false)
	}
	return unknown
}
