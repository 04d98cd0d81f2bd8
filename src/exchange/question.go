package exchange

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// ask sends a question of the gateway's own, which belongs to no client's request, to a replica and returns the reply.
func (h *Handler) ask(ctx context.Context, peer *Peer, question *outgoingRequest, timeout time.Duration) (status int, body []byte, err error) {
	response, body, err := h.askUpTo(ctx, peer, question, timeout, maxCopyReplyBytes)
	if err == nil && bodyEndOf(question.method, response) == endByClose {
		err = errUnprovenEnd
	}
	if err != nil {
		return 0, nil, err
	}
	return response.StatusCode, body, nil
}

// askUpTo asks like ask, and reads a reply of at most maxBytes bytes, however its end is known.
func (h *Handler) askUpTo(ctx context.Context, peer *Peer, question *outgoingRequest, timeout time.Duration, maxBytes int64) (*http.Response, []byte, error) {
	now := h.options.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := peer.pool.get(ctx, dialAttempt, now)
	if err != nil {
		return nil, nil, err
	}
	stopWatch := context.AfterFunc(ctx, func() { _ = conn.raw.Close() })
	defer stopWatch()
	_ = conn.raw.SetDeadline(now.Add(timeout))
	response, body, err := conn.ask(&h.options.Codec, question, maxBytes)
	if err != nil {
		_ = conn.raw.Close()
		return nil, nil, err
	}
	if !stopWatch() || response.Close {
		_ = conn.raw.Close()
		return response, body, nil
	}
	_ = conn.raw.SetDeadline(time.Time{})
	peer.pool.put(h.options.Now(), conn, response.Header)
	return response, body, nil
}

// ask sends a question of the gateway's own on the connection and reads the whole response. It must not be used any more
// after an error.
func (c *conn) ask(codec *Codec, question *outgoingRequest, maxBytes int64) (*http.Response, []byte, error) {
	if _, err := c.raw.Write(append(question.encode(), question.body...)); err != nil {
		return nil, nil, err
	}
	// A response with an ID is a late one to an earlier request.
	own := func(response *http.Response) bool { return codec.Reply(response.StatusCode, response.Header).ID == "" }
	response, err := c.reader.next(question.method, own)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err != nil {
		return nil, nil, errors.Wrap(err, "reading the response")
	}
	if int64(len(body)) > maxBytes {
		return nil, nil, NewLimitError("bytes of a reply", maxBytes, int64(len(body)))
	}
	return response, body, nil
}
