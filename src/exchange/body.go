package exchange

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/catalog"
)

const (
	// bodyTimeout limits the time for reading a request body.
	bodyTimeout = 10 * time.Second
	// defaultBodyBytes is the largest request body if the configuration sets no limit.
	defaultBodyBytes = 4 << 20
)

// bodyLimit returns the maximum length of a request body.
func bodyLimit(table *catalog.Table) int {
	if limit := table.Document().Limits.BodyBytes; limit > 0 {
		return limit
	}
	return defaultBodyBytes
}

func (c *call) refuseTooLarge() { c.refuse(http.StatusRequestEntityTooLarge, "the body is too large") }

// readBody reads the body of the request. It returns false if it has responded to the client: a stopping gateway
// does so while a body still comes that it could not send on any more.
func (c *call) readBody(limit int) bool {
	control := http.NewResponseController(c.writer)
	_ = control.SetReadDeadline(c.startedAt.Add(bodyTimeout))
	awaitRefusal := c.refuseAtMark()
	// Without the writer, since the response may be written meanwhile.
	limited := http.MaxBytesReader(nil, c.request.Body, int64(limit))
	body, err := io.ReadAll(&retainingReader{call: c, from: limited})
	if awaitRefusal() {
		// Unread bytes would make the kernel reset the connection, which may overtake the response.
		_, _ = io.Copy(io.Discard, c.request.Body)
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

// refuseAtMark makes refusedByStop be asked at the mark of a stop, or now if it has passed. The function that it
// returns ends that and reports whether the request was refused.
func (c *call) refuseAtMark() func() bool {
	if c.request.ContentLength == 0 {
		return func() bool { return false }
	}
	refused := make(chan bool, 1)
	end := context.AfterFunc(c.handler.stop.marked, func() {
		isRefused := c.refusedByStop()
		if isRefused {
			_ = http.NewResponseController(c.writer).Flush()
		}
		refused <- isRefused
	})
	return func() bool { return !end() && <-refused }
}

// refuseBody refuses a request whose body could not be read.
func (c *call) refuseBody(err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errRetentionFull):
		c.refuse(http.StatusServiceUnavailable, err.Error())
	case errors.As(err, &tooLarge):
		c.writer.Header().Set("Connection", "close")
		c.refuseTooLarge()
	default:
		c.refuse(http.StatusBadRequest, "the body could not be read: "+err.Error())
	}
}
