package dial

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// Limits of what precedes the response to a request.
const (
	// maxHeadBytes limits a head, maxInterimResponses the number of interim responses.
	maxHeadBytes        = 32 << 10
	maxInterimResponses = 16
)

var (
	errHeadTooLong = errors.New("the head of the response is too long")
	errFoldedField = errors.New("the head of the response has a folded field")
	errInterim     = errors.New("there are too many interim responses")
)

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
