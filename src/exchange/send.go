package exchange

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// The ways in which sending ends without an answer.
var (
	// errNotSent means that not a byte of the request left this host.
	errNotSent = errors.New("not sent")
	// errNoAnswer means that the request was sent and may have run.
	errNoAnswer = errors.New("no answer")
	// errWithheld means that not a byte left this host since the replica takes no requests now.
	errWithheld = errors.New("withheld")
	// errForeign means that only answers to other requests came.
	errForeign = errors.New("the answer belongs to another request")
)

// maxForeign bounds the late answers to earlier requests that are passed over.
const maxForeign = 2

// inlineBody is the size up to which a body is written before the answer is
// read; a longer one is written beside it, since a replica may answer early.
const inlineBody = 8 << 10

// outgoing is a request as it goes to a replica.
type outgoing struct {
	method string
	// target is the path and query as the client wrote them.
	target string
	host   string
	header http.Header
	body   []byte
}

// answer is a replica's answer whose body is still to be read.
type answer struct {
	response *http.Response
	reply    Reply
	conn     *conn
	pool     *pool
	// begun is set once the head of the answer is here.
	begun atomic.Bool
	// written is closed once the request's body has gone out.
	written chan struct{}
	stop    func() bool
}

// hopByHop are the headers that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Content-Length": true, "Host": true, "Expect": true,
}

// encode returns the request's head.
func (o *outgoing) encode() []byte {
	var head bytes.Buffer
	head.Grow(1024)
	head.WriteString(o.method + " " + o.target + " HTTP/1.1\r\nHost: " + o.host + "\r\n")
	for name, values := range o.header {
		for _, value := range values {
			head.WriteString(name + ": " + value + "\r\n")
		}
	}
	if len(o.body) > 0 || o.method != http.MethodGet && o.method != http.MethodHead {
		head.WriteString("Content-Length: " + strconv.Itoa(len(o.body)) + "\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// talk is what is asked and learned of a replica while a request is sent to it.
type talk struct {
	// admit reports whether the replica takes the request; it is asked once the connection is
	// up, right before the first byte.
	admit func() bool
	// read reads the head of each answer that comes, whichever request it belongs to.
	read func(status int, header http.Header) Reply
}

// send sends a request over a connection that is up within a time, and waits for the
// head of its answer until the deadline. The context ends the exchange at any time by closing the connection.
func send(ctx context.Context, p *pool, o *outgoing, id string, with talk, within time.Duration, deadline, now time.Time) (*answer, error) {
	c, err := p.get(ctx, within, now)
	if err != nil {
		return nil, errors.Wrap(errNotSent, err.Error())
	}
	if !with.admit() {
		p.giveBack(now, c)
		return nil, errWithheld
	}
	_ = c.raw.SetDeadline(deadline)
	a := &answer{conn: c, pool: p, written: make(chan struct{})}
	a.stop = context.AfterFunc(ctx, a.hangUp)
	if err := a.write(o); err != nil {
		a.abort()
		return nil, err
	}
	if err := a.readHead(o.method, id, with.read); err != nil {
		a.abort()
		return nil, err
	}
	return a, nil
}

// lastWord is how long a connection whose request was given up stays open until the head of an
// answer is there. A replica that turns it away may say there that it wants nothing for a time, and
// say it once: that comes within one round trip, some 10 ms between zones. It is a tenth of the half
// second after which no replica may be at work for a client that has left.
const lastWord = 50 * time.Millisecond

// hangUp closes the connection of a request that was given up.
func (a *answer) hangUp() {
	if a.begun.Load() {
		_ = a.conn.raw.Close()
		return
	}
	time.AfterFunc(lastWord, func() { _ = a.conn.raw.Close() })
}

func (a *answer) write(o *outgoing) error {
	head := o.encode()
	if len(o.body) <= inlineBody {
		close(a.written)
		n, err := a.conn.raw.Write(append(head, o.body...))
		if err != nil && n == 0 {
			return errors.Wrap(errNotSent, err.Error())
		}
		if err != nil {
			return errors.Wrap(errNoAnswer, err.Error())
		}
		return nil
	}
	n, err := a.conn.raw.Write(head)
	if err != nil {
		close(a.written)
		if n == 0 {
			return errors.Wrap(errNotSent, err.Error())
		}
		return errors.Wrap(errNoAnswer, err.Error())
	}
	go func() {
		defer close(a.written)
		if _, err := a.conn.raw.Write(o.body); err != nil {
			_ = a.conn.raw.Close()
		}
	}()
	return nil
}

// readHead reads heads until one belongs to the request; late answers to
// earlier requests on the connection are passed over.
func (a *answer) readHead(method, id string, read func(int, http.Header) Reply) error {
	for passed := 0; ; passed++ {
		response, err := http.ReadResponse(a.conn.reader, &http.Request{Method: method})
		if err != nil {
			return errors.Wrap(errNoAnswer, err.Error())
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		reply := read(response.StatusCode, response.Header)
		if reply.ID == id || reply.ID == "" && reply.NotRun {
			a.response = response
			a.reply = reply
			a.begun.Store(true)
			return nil
		}
		if passed == maxForeign || response.Close || response.ContentLength < 0 {
			return errForeign
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return errors.Wrap(errNoAnswer, err.Error())
		}
	}
}

// finish gives the connection back after the whole body was read.
func (a *answer) finish(now time.Time) {
	if !a.stop() {
		// The context has ended: the connection is being closed.
		return
	}
	if !a.reusable() {
		_ = a.conn.raw.Close()
		return
	}
	_ = a.conn.raw.SetDeadline(time.Time{})
	a.pool.put(now, a.conn, a.response.Header)
}

// reusable reports whether the connection's state is certain: the request went
// out whole and the answer said where it ends.
func (a *answer) reusable() bool {
	select {
	case <-a.written:
	default:
		return false
	}
	framed := a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0
	return framed && !a.response.Close && a.conn.reader.Buffered() == 0
}

// abort closes the connection; the replica stops its work.
func (a *answer) abort() {
	a.stop()
	_ = a.conn.raw.Close()
}
