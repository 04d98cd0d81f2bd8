package exchange

import (
	"bytes"
	"strconv"
	"strings"
)

// eventStream splits a stream into complete events. A stream that breaks off can then be resumed,
// and never ends in the middle of an event as if it were complete.
type eventStream struct {
	// started is set once the response to the client has begun.
	started bool
	// lastEventID is the ID of the last event that was passed on.
	lastEventID string
	// resumedAfter is the ID after which the current run was asked to go on, "" once an event beyond it
	// has arrived.
	resumedAfter string
	// brokeOff is set once a run has broken off, or may have with its server; brought once the current one has brought a
	// complete event that no earlier one had.
	brokeOff, brought bool
	// pending is the start of an event that is not complete yet.
	pending eventBuffer
	// announced is told the runs that a gateway announces in the stream, nil where none comes from a gateway.
	announced func(runs int)
}

// beginRun prepares for the events of another run, which goes on after an event unless its ID is "".
func (s *eventStream) beginRun(after string) {
	s.pending.take()
	s.resumedAfter = after
	s.brought = false
}

// appendData adds data and returns the complete events received so far that were not passed on by
// an earlier run.
func (s *eventStream) appendData(data []byte) []byte {
	events := s.dropRepeated(s.takeAnnounced(s.pending.add(data)))
	if id := parseLastID(events); id != "" {
		s.lastEventID = id
	}
	s.brought = s.brought || holdsEvent(events)
	return events
}

// dropRepeated removes the events at the start of a resumed run that an earlier run has passed on.
func (s *eventStream) dropRepeated(events []byte) []byte {
	for s.resumedAfter != "" && len(events) > 0 {
		end := firstEventEnd(events)
		if !passedBefore(parseLastID(events[:end]), s.resumedAfter) {
			s.resumedAfter = ""
			break
		}
		events = events[end:]
	}
	return events
}

// passedBefore reports whether an event is the last one that was passed on or precedes it. IDs that are
// not numbers have no order.
func passedBefore(id, last string) bool {
	if id == last {
		return true
	}
	number, err := strconv.ParseUint(id, 10, 64)
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	return err == nil && lastErr == nil && number <= lastNumber
}

// nextLine returns the first line of the data without its end, and the data after it. Lines end with
// LF, CRLF or CR; ended is false if the line has not ended yet.
func nextLine(data []byte) (line, rest []byte, ended bool) {
	at := bytes.IndexAny(data, "\r\n")
	if at < 0 {
		return data, nil, false
	}
	return data[:at], data[skipLineEnd(data, at):], true
}

// skipLineEnd returns the offset after the line end at an offset.
func skipLineEnd(data []byte, at int) int {
	if data[at] == '\r' && at+1 < len(data) && data[at+1] == '\n' {
		return at + 2
	}
	return at + 1
}

// firstEventEnd returns the offset after the first blank line, or the length of the data if there is
// none.
func firstEventEnd(data []byte) int {
	for rest := data; len(rest) > 0; {
		line, after, ended := nextLine(rest)
		if ended && len(line) == 0 {
			return len(data) - len(after)
		}
		rest = after
	}
	return len(data)
}

// holdsEvent reports whether complete events are more than comments.
func holdsEvent(events []byte) bool {
	for len(events) > 0 {
		line, rest, _ := nextLine(events)
		if len(line) > 0 && line[0] != ':' {
			return true
		}
		events = rest
	}
	return false
}

// parseLastID returns the ID of the last event that has one.
func parseLastID(events []byte) string {
	id := ""
	for len(events) > 0 {
		line, rest, _ := nextLine(events)
		if value, found := strings.CutPrefix(string(line), "id:"); found {
			id = strings.TrimSpace(value)
		}
		events = rest
	}
	return id
}
