package dial

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"
)

// Limits of what precedes the response to a request.
const (
	// maxHeadBytes limits a head, maxInterimResponses the number of interim responses.
	maxHeadBytes        = 32 << 10
	maxInterimResponses = 16
)

// Limits of what a body is read from.
const (
	// maxKeptBytes limits what is kept of what stands between chunks and behind them. It is larger than a read.
	maxKeptBytes = 64 << 10
	// maxReadBytes limits a read: all that is asked for of a chunk is kept until it has arrived.
	maxReadBytes = 16 << 10
	// maxRestBytes limits what is read of a body to use its connection again.
	maxRestBytes = 64 << 10
)

// lengthUntilClose is how Hertz marks a body that ends with its connection.
const lengthUntilClose = -2

var (
	errHeadTooLong = errors.New("the head of the response is too long")
	errFoldedField = errors.New("the head of the response has a folded field")
	errTooLong     = errors.New("the response is too long")
	errInterim     = errors.New("there are too many interim responses")
)

// EndsByClose reports whether the body of a response ends with its connection, so that nothing proves that
// it is complete.
func EndsByClose(response *protocol.Response) bool {
	return response.Header.ContentLength() == lengthUntilClose && !response.MustSkipBody()
}

// Do sends a request. Reading the body of the response returns an error unless all of it arrives.
func (c *Client) Do(ctx context.Context, request *protocol.Request, response *protocol.Response) error {
	if err := c.Client.Do(ctx, request, response); err != nil {
		return err
	}
	if !response.IsBodyStream() {
		return nil
	}
	conn := c.dialer.find(endpointsOf(response.LocalAddr(), response.RemoteAddr()))
	if conn == nil {
		return errors.New("the connection was closed")
	}
	conn.maxKept = maxKeptBytes
	body := &body{stream: response.BodyStream(), conn: conn, endsByClose: EndsByClose(response)}
	response.ConstructBodyStream(response.BodyBuffer(), body)
	return nil
}

// body is the body of a response. Hertz takes a failed read for the end of a body in some places, so its end
// is checked against what was read from the connection.
type body struct {
	stream      io.Reader
	conn        *trackedConn
	endsByClose bool
	// ended is set once the whole body was read.
	ended bool
}

// Read returns io.EOF only at the end of the whole body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.stream.Read(p[:min(len(p), maxReadBytes)])
	failed := b.conn.readErr
	if err == io.EOF && failed != nil && !(b.endsByClose && failed == io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	b.ended = b.ended || err == io.EOF
	return n, err
}

// Close releases the connection, and closes it if the body is not about to end: Hertz would read the rest, however
// long.
func (b *body) Close() error {
	if !b.ended && !b.conn.closed.Load() {
		_, _ = io.Copy(io.Discard, io.LimitReader(b, maxRestBytes))
	}
	if !b.ended {
		_ = b.conn.Close()
	}
	if closer, ok := b.stream.(io.Closer); ok {
		return closer.Close()
	}
	return nil
}

// ReadBody reads the rest of the body of a response and closes it. It returns an error if it is longer than
// Options.MaxBody.
func (c *Client) ReadBody(response *protocol.Response) ([]byte, error) {
	if !response.IsBodyStream() {
		return response.Body(), nil
	}
	defer func() { _ = response.CloseBodyStream() }()
	if b, found := response.BodyStream().(*body); found && errors.Is(b.conn.readErr, errTooLong) {
		return nil, errTooLong
	}
	read, err := io.ReadAll(io.LimitReader(response.BodyStream(), int64(c.maxBody)+1))
	if err == nil && len(read) > c.maxBody {
		err = errTooLong
	}
	return read, err
}

// ReadStart returns up to n bytes of the body of a response and closes it.
func ReadStart(response *protocol.Response, n int) []byte {
	if !response.IsBodyStream() {
		body := response.Body()
		return body[:min(n, len(body))]
	}
	defer func() { _ = response.CloseBodyStream() }()
	// What was read before an error tells as much.
	start, _ := io.ReadAll(io.LimitReader(response.BodyStream(), int64(n)))
	return start
}

// awaitHead waits for the head of a response and passes over interim ones. It returns an error for a head
// that is incomplete or ambiguous, some of which Hertz accepts.
func (c *trackedConn) awaitHead() error {
	for interim := range maxInterimResponses + 1 {
		head, err := c.peekHead()
		if err == io.EOF && interim > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		response, err := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(head), len(head)), nil)
		if err != nil {
			return errors.Wrap(err, "reading the head of a response")
		}
		if bytes.Contains(head, []byte("\n ")) || bytes.Contains(head, []byte("\n\t")) {
			return errFoldedField
		}
		if response.StatusCode >= http.StatusOK {
			return nil
		}
		if err := c.Conn.Skip(len(head)); err != nil {
			return err
		}
	}
	return errInterim
}

// peekHead returns the next head without advancing the reader. It returns io.EOF only if no byte of it
// arrived.
func (c *trackedConn) peekHead() ([]byte, error) {
	for buffered := c.Conn.Len(); ; {
		if buffered == 0 {
			if _, err := c.Conn.Peek(1); err != nil {
				return nil, err
			}
			buffered = c.Conn.Len()
		}
		arrived, err := c.Conn.Peek(buffered)
		if err != nil {
			return nil, err
		}
		if end := headEnd(arrived); end > 0 {
			return arrived[:end], nil
		}
		if buffered >= maxHeadBytes {
			return nil, errHeadTooLong
		}
		if _, err := c.Conn.Peek(buffered + 1); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		buffered = c.Conn.Len()
	}
}

// headEnd returns the length of the head at the start of b, 0 if it is incomplete.
func headEnd(b []byte) int {
	for start := 0; ; {
		line := bytes.IndexByte(b[start:], '\n')
		if line < 0 {
			return 0
		}
		start += line + 1
		switch rest := b[start:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return start + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return start + len("\r\n")
		}
	}
}
