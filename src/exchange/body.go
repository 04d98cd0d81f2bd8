package exchange

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/catalog"
)

const (
	// bodyTimeout limits the time for reading a request body.
	bodyTimeout = 10 * time.Second
	// defaultBodyLimit is the maximum length in bytes of a request body if the configuration sets none.
	defaultBodyLimit = 4 << 20
)

// bodyLimit returns the maximum length of a request body.
func bodyLimit(table *catalog.Table) int {
	if limit := table.Document().Limits.BodyBytes; limit > 0 {
		return limit
	}
	return defaultBodyLimit
}

// readBody reads the body of the request. It returns false if it has responded to the client: it does so while a
// body still comes that can't be sent on in time.
func (c *call) readBody(limit int) bool {
	control := http.NewResponseController(c.writer)
	_ = control.SetReadDeadline(c.startedAt.Add(bodyTimeout))
	endRefusal := c.refuseUnread(c.handler.options.Now())
	// Without the writer, since the response may be written meanwhile.
	limited := http.MaxBytesReader(nil, c.request.Body, int64(limit))
	body, err := io.ReadAll(&retainingReader{call: c, from: limited})
	if endRefusal() {
		return false
	}
	if err != nil {
		c.refuseBody(err)
		return false
	}
	_ = control.SetReadDeadline(time.Time{})
	c.body, c.receivedAt = body, c.handler.options.Now()
	return true
}

// refuseUnread makes the request be refused while its body still comes: once its time is over, and by refusedByStop
// at the mark of a stop, or now if that has passed. The function that it returns ends that and reports whether the
// request was refused.
func (c *call) refuseUnread(now time.Time) func() bool {
	if c.request.ContentLength == 0 {
		return func() bool { return false }
	}
	var (
		mu             sync.Mutex
		ended, refused bool
	)
	attempt := func(refuse func() bool) {
		mu.Lock()
		defer mu.Unlock()
		if ended || refused || !refuse() {
			return
		}
		refused = true
		_ = http.NewResponseController(c.writer).Flush()
	}
	endMark := context.AfterFunc(c.handler.stop.marked, func() { attempt(c.refusedByStop) })
	due := time.AfterFunc(c.deadline.Add(-responseMargin).Sub(now), func() { attempt(c.refuseLateBody) })
	return func() bool {
		endMark()
		due.Stop()
		mu.Lock()
		defer mu.Unlock()
		ended = true
		return refused
	}
}

// refuseLateBody refuses a request whose body takes too long.
func (c *call) refuseLateBody() bool {
	c.writer.Header().Set("Connection", "close")
	c.refuse(http.StatusRequestTimeout, "the body was not complete in time")
	return true
}

// refuseBody refuses a request whose body could not be read.
func (c *call) refuseBody(err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errRetentionFull):
		c.refuse(http.StatusServiceUnavailable, err.Error())
	case errors.As(err, &tooLarge) && c.handler.Table() != c.table:
		c.writer.Header().Set("Connection", "close")
		c.refuseUndecided("the body is too large for a configuration that is not the newest")
	case errors.As(err, &tooLarge):
		c.writer.Header().Set("Connection", "close")
		c.refuseTooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuseLateBody()
	default:
		c.refuse(http.StatusBadRequest, "the body could not be read: "+err.Error())
	}
}

func (c *call) refuseTooLarge() { c.refuse(http.StatusRequestEntityTooLarge, "the body is too large") }
