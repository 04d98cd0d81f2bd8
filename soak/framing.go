package main

import (
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// Shares of answers, in percent, that end with their connection, and of those the ones that are broken
// off.
const (
	unframedPercent  = 6
	brokenOffPercent = 30
)

// cutOffAnswers counts answers that were cut off and are not framed as complete.
const cutOffAnswers = "answers cut off without a proof of their end"

// framed reports whether an answer has a length or chunks, which prove that it is complete.
func framed(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// mayBeCutOff reports whether a body without proof of its end may be a beginning of the wanted one. A
// stream may not: a gateway ends none in order without proof.
func mayBeCutOff(kind, body, want string) bool {
	return kind != "e" && kind != "n" && strings.HasPrefix(want, body)
}

var errBrokenOff = errors.New("the replica broke its answer off")

// cutWriter writes an answer that ends with its connection, and breaks it off after some bytes.
type cutWriter struct {
	http.ResponseWriter
	// left is how many bytes are written before the answer is broken off.
	left   int
	reset  bool
	broken func()
}

// drawFraming lets some answers have neither a length nor chunks, and breaks some of those off.
// broken is called before one breaks off.
func drawFraming(w http.ResponseWriter, broken func()) http.ResponseWriter {
	if rand.IntN(100) >= unframedPercent {
		return w
	}
	w.Header().Set("Transfer-Encoding", "identity")
	if rand.IntN(100) >= brokenOffPercent {
		return w
	}
	return &cutWriter{ResponseWriter: w, left: rand.IntN(60), reset: rand.IntN(3) == 0, broken: broken}
}

// Unwrap returns the writer for http.ResponseController.
func (c *cutWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// Write writes up to the byte at which the answer breaks off.
func (c *cutWriter) Write(p []byte) (int, error) {
	if len(p) < c.left {
		c.left -= len(p)
		return c.ResponseWriter.Write(p)
	}
	c.broken()
	// A close in order between two writes would say that the answer ends there.
	reset := c.reset || c.left == len(p)
	n, _ := c.ResponseWriter.Write(p[:c.left])
	control := http.NewResponseController(c.ResponseWriter)
	_ = control.Flush()
	conn, _, err := control.Hijack()
	if err != nil {
		return n, errors.Wrap(err, "breaking an answer off")
	}
	if reset {
		resetConn(conn)
	} else {
		_ = conn.Close()
	}
	return n, errBrokenOff
}
