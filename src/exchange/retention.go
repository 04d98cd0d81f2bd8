package exchange

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// errRetentionFull means that the gateway buffers as many bytes as it may.
var errRetentionFull = errors.New("this gateway keeps as much for other requests as it may")

// retention limits the bytes of request bodies and responses that a gateway buffers over all
// requests. Slow clients and slow replicas occupy their share for long. It is safe for concurrent
// use.
type retention struct {
	// limit is 0 for no limit.
	limit int64
	used  atomic.Int64
}

// reserve counts bytes as buffered if there is room for them.
func (r *retention) reserve(n int64) bool {
	if used := r.used.Add(n); r.limit > 0 && used > r.limit {
		r.used.Add(-n)
		return false
	}
	return true
}

// release stops counting bytes as buffered.
func (r *retention) release(n int64) { r.used.Add(-n) }

// retain counts bytes as buffered until the request ends.
func (c *call) retain(n int64) bool {
	if !c.handler.retention.reserve(n) {
		return false
	}
	c.retained += n
	return true
}

// releaseRetained stops counting the bytes that were buffered for the request.
func (c *call) releaseRetained() {
	c.handler.retention.release(c.retained)
	c.retained = 0
}

// retainingReader counts the bytes that are read as buffered for a request.
type retainingReader struct {
	call *call
	from io.Reader
}

// Read returns errRetentionFull together with the bytes for which there was no room.
func (r *retainingReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if n > 0 && !r.call.retain(int64(n)) {
		return n, errRetentionFull
	}
	return n, err
}

// readRetained reads the body of a response, up to one byte more than is kept of a response, and counts it as
// buffered. With errRetentionFull it returns what it has read.
func (c *call) readRetained(body io.Reader) ([]byte, error) {
	return io.ReadAll(&retainingReader{call: c, from: io.LimitReader(body, maxBufferedBytes+1)})
}

// maxUncountedID is the longest ID of an event that is kept uncounted: a stream goes on while the gateway keeps as much as it
// may, unless the stream takes more of it.
const maxUncountedID = 1 << 10

// retainPending counts the incomplete event of the stream, and a long ID of the last one, as buffered, in place of
// what was counted of it before.
func (c *call) retainPending() bool {
	kept := c.stream.pending.len()
	if id := len(c.stream.lastEventID); id > maxUncountedID {
		kept += id
	}
	grown := int64(kept) - c.retainedPending
	if grown > 0 && !c.retain(grown) {
		return false
	}
	if grown < 0 {
		c.handler.retention.release(-grown)
		c.retained += grown
	}
	c.retainedPending += grown
	return true
}
