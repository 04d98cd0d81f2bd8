package exchange

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net/http"
)

// readBufferBytes is the size of the buffer of a connection to a replica.
const readBufferBytes = 4096

// Limits of what is read before the response to a request.
const (
	// maxHeadBytes limits the heads that arrive for one request, those of interim and of late
	// responses included.
	maxHeadBytes = 32 << 10
	// maxInterimResponses is the number of interim responses that may precede a response.
	maxInterimResponses = 16
	// maxLateResponses is the number of late responses to earlier requests that are skipped for one
	// request, maxLateBytes the length of all their bodies.
	maxLateResponses = 2
	maxLateBytes     = 1 << 20
)

// LimitError means that a replica sent more than is read in one place of a response. It says nothing
// on whether the replica ran the request.
type LimitError struct {
	place string
	limit int64
	read  int64
}

// NewLimitError returns the error for a place, named with its unit, and what was read there.
func NewLimitError(place string, limit, read int64) *LimitError {
	return &LimitError{place: place, limit: limit, read: read}
}

// Error describes the limit that was exceeded.
func (e *LimitError) Error() string {
	return fmt.Sprintf("%s: over the limit of %d, %d read", e.place, e.limit, e.read)
}

// limitedReader reads up to a limit, if one is set.
type limitedReader struct {
	from io.Reader
	left int64
}

func (r *limitedReader) setLimit(bytes int64) { r.left = bytes }

func (r *limitedReader) removeLimit() { r.left = math.MaxInt64 }

// Read returns io.EOF at the limit.
func (r *limitedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, io.EOF
	}
	n, err := r.from.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// responseReader reads the responses that arrive on a connection to a replica. A faulty replica may
// send bytes without end in each place of a response, so each is limited.
type responseReader struct {
	limited  *limitedReader
	buffered *bufio.Reader
	// interim is told the headers of interim responses. It may be nil.
	interim func(header http.Header)
}

func newResponseReader(from io.Reader) *responseReader {
	limited := &limitedReader{from: from}
	limited.removeLimit()
	return &responseReader{limited: limited, buffered: bufio.NewReaderSize(limited, readBufferBytes)}
}

// empty reports whether all bytes that were taken from the connection have been read.
func (r *responseReader) empty() bool { return r.buffered.Buffered() == 0 }

// next returns the response for which belongs returns true, with its body unread. It passes over
// interim responses and over late responses to earlier requests.
func (r *responseReader) next(method string, belongs func(*http.Response) bool) (*http.Response, error) {
	headBytesLeft, lateBytes := int64(maxHeadBytes), int64(0)
	for late := 0; ; late++ {
		response, err := r.nextHead(method, &headBytesLeft)
		if err != nil {
			return nil, err
		}
		if belongs(response) {
			return response, nil
		}
		if late == maxLateResponses || response.Close || response.ContentLength < 0 {
			return nil, errOtherRequest
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxLateBytes-lateBytes+1))
		if err != nil {
			return nil, err
		}
		lateBytes += skipped
		if lateBytes > maxLateBytes {
			return nil, NewLimitError("bytes of late responses", maxLateBytes, lateBytes)
		}
	}
}

// nextHead returns the next response that is not an interim one and subtracts what was read from
// bytesLeft.
func (r *responseReader) nextHead(method string, bytesLeft *int64) (*http.Response, error) {
	r.limited.setLimit(*bytesLeft)
	defer func() {
		*bytesLeft = r.limited.left
		r.limited.removeLimit()
	}()
	for range maxInterimResponses + 1 {
		response, err := http.ReadResponse(r.buffered, &http.Request{Method: method})
		if err != nil && r.limited.left == 0 {
			// The HTTP library may report a field that was cut at the limit as malformed.
			err = NewLimitError("bytes of heads before a response", maxHeadBytes, maxHeadBytes)
		}
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
		if r.interim != nil {
			r.interim(response.Header)
		}
	}
	return nil, NewLimitError("interim responses", maxInterimResponses, maxInterimResponses+1)
}
