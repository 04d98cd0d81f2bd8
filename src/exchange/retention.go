package exchange

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

// errRetention means that the gateway keeps as many bytes as it may.
var errRetention = errors.New("this gateway keeps as much for other requests as it may")

// retention bounds the bytes that a gateway keeps of bodies and answers, over all requests: clients
// that send or read slowly, and replicas that read slowly, keep theirs for long. It is safe for
// concurrent use.
type retention struct {
	// limit is 0 for no bound.
	limit int64
	used  atomic.Int64
}

// take counts bytes as kept, if there is room for them.
func (r *retention) take(n int64) bool {
	if used := r.used.Add(n); r.limit > 0 && used > r.limit {
		r.used.Add(-n)
		return false
	}
	return true
}

// give counts bytes as kept no more.
func (r *retention) give(n int64) { r.used.Add(-n) }

// retain counts bytes as kept until the request ends.
func (c *call) retain(n int64) bool {
	if !c.handler.retention.take(n) {
		return false
	}
	c.retained += n
	return true
}

// giveRetained counts what the request kept as kept no more.
func (c *call) giveRetained() {
	c.handler.retention.give(c.retained)
	c.retained = 0
}

// retainingReader counts what is read as kept by a request.
type retainingReader struct {
	call *call
	from io.Reader
}

// Read returns errRetention together with the bytes for which there was no room.
func (r *retainingReader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if n > 0 && !r.call.retain(int64(n)) {
		return n, errRetention
	}
	return n, err
}
