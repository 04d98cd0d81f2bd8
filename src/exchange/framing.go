package exchange

import (
	"net/http"
	"slices"
)

// bodyEnd is how the end of a response's body is known.
type bodyEnd uint8

const (
	// endUnread means that no response has been received.
	endUnread bodyEnd = iota
	// endByStatus means that the response has no body, by its status or by the request's method.
	endByStatus
	endByLength
	endByLastChunk
	// endByClose means that the body ends with its connection. The host of a process that ended
	// closes its connections in the same way, so that the body may be incomplete.
	endByClose
)

// String describes the end for a log line.
func (e bodyEnd) String() string {
	switch e {
	case endByStatus:
		return "no body"
	case endByLength:
		return "by its length"
	case endByLastChunk:
		return "by its last chunk"
	case endByClose:
		return "by the close of the connection"
	case endUnread:
	}
	return "no answer"
}

// bodyEndOf returns how the end of the body of a response to the given method is known.
func bodyEndOf(method string, response *http.Response) bodyEnd {
	switch {
	case method == http.MethodHead, response.StatusCode == http.StatusNoContent, response.StatusCode == http.StatusNotModified:
		return endByStatus
	case slices.Contains(response.TransferEncoding, "chunked"):
		return endByLastChunk
	case response.ContentLength >= 0:
		return endByLength
	}
	return endByClose
}

// clientFraming is how a client knows the end of its response.
type clientFraming uint8

const (
	// framedNot means that no response has begun.
	framedNot clientFraming = iota
	// framedByLength means that the response has a length or no body.
	framedByLength
	framedByChunks
	// framedByClose means that the response ends with its connection. Until it is complete the connection
	// is set to be reset by whatever closes it.
	framedByClose
)

// String describes the framing for a log line.
func (f clientFraming) String() string {
	switch f {
	case framedByLength:
		return "by its length"
	case framedByChunks:
		return "in chunks"
	case framedByClose:
		return "to the close"
	case framedNot:
	}
	return "none"
}

// useFraming prepares the client's response for a body whose end is known in the given way. If only
// the close of the replica's connection shows it, the client's response ends with its connection as
// well: a length or a last chunk would state that the body is complete.
func (c *call) useFraming(end bodyEnd) {
	header := c.writer.Header()
	if end == endByClose {
		header.Set("Transfer-Encoding", "identity")
	}
	switch {
	case end == endByStatus, end != endByClose && header.Get("Content-Length") != "":
		c.framing = framedByLength
	case end != endByClose && c.request.ProtoAtLeast(1, 1):
		c.framing = framedByChunks
	default:
		c.framing = framedByClose
	}
}
