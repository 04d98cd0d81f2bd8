package exchange

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/resume"
)

// Errors of sending a request without a response.
var (
	// errNotSent means that no byte of the request left this host.
	errNotSent = errors.New("not sent")
	// errNoResponse means that the request was sent and may have run.
	errNoResponse = errors.New("no answer")
	// errNotAccepted means that no byte left this host because the replica accepts no requests now.
	errNotAccepted = errors.New("withheld")
	// errGivenUp means that the response came as the connection was being closed.
	errGivenUp = errors.New("it was given up")
	// errOtherRequest means that only responses to other requests arrived.
	errOtherRequest = errors.New("the answer belongs to another request")
)

// maxInlineBodyBytes is the largest body that is written before the response is read. A larger one
// is written concurrently, since the replica may respond before it has read all of it.
const maxInlineBodyBytes = 8 << 10

// outgoingRequest is a request in the form in which it is sent to a replica.
type outgoingRequest struct {
	method string
	// target is the path and query exactly as the client sent them.
	target string
	host   string
	header http.Header
	body   []byte
}

// replicaResponse is a response of a replica whose body has not been read yet.
type replicaResponse struct {
	response *http.Response
	// end is how the end of the response's body is known.
	end bodyEnd
	// origin is what wrote the response.
	origin resume.Origin
	reply  Reply
	conn   *conn
	pool   *pool
	// lastConn is the number of the last connection to the replica that was established before the request was sent.
	lastConn int
	// headRead is set once the head of the response has been read.
	headRead atomic.Bool
	// ended is closed once the wait for the head is over; headErr is then why there is none, nil if there is one.
	ended   chan struct{}
	headErr error
	// written is closed once the request body has been written, or can't be.
	written   chan struct{}
	stopWatch func() bool
}

// hopByHop lists the headers that apply to a single connection.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Content-Length": true, "Host": true, "Expect": true,
	headerForwardID: true, headerForwardVersion: true, headerForwardRuns: true, headerNotSent: true,
	headerForwardService: true, headerForwardSoftware: true, headerForwardCounts: true, headerForwardAlone: true,
}

// encode returns the request line and headers.
func (o *outgoingRequest) encode() []byte {
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

// sendHooks are called while a request is sent to a replica.
type sendHooks struct {
	// admit reports whether the replica accepts the request. It is called once the connection is
	// established, right before the first byte.
	admit func() bool
	// ready is a connection that the replica has accepted for the request; nil takes one of the pool.
	ready *conn
	// sending is told the connection right before the first byte of the request.
	sending func(net.Conn)
	// confirm returns an error if the request must not be sent on a connection. It is called before admit and
	// may use the connection. It may be nil.
	confirm func(*conn) error
	// read decodes the head of each response that arrives, whichever request it belongs to. It is called by
	// another goroutine than the others, after them.
	read func(status int, header http.Header) Reply
	// interim is told the headers of interim responses, by the goroutine that calls read. It may be nil.
	interim func(header http.Header)
}

// send sends a request, and reads the head of its response, until the deadline, after it has returned. The
// connection must be established within the given time and before dialing ends. Cancelling the context closes
// the connection at any time.
func send(ctx, dialing context.Context, p *pool, o *outgoingRequest, id string, hooks sendHooks, connectTimeout time.Duration, deadline, now time.Time) (*replicaResponse, error) {
	c := hooks.ready
	if c == nil {
		var err error
		if c, err = p.get(dialing, connectTimeout, now); err != nil {
			return nil, errors.Wrap(errNotSent, err.Error())
		}
	}
	if hooks.confirm != nil {
		if err := hooks.confirm(c); err != nil {
			_ = c.raw.Close()
			return nil, err
		}
	}
	if !hooks.admit() {
		p.putUnused(now, c)
		return nil, errNotAccepted
	}
	_ = c.raw.SetDeadline(deadline)
	c.reader.interim = hooks.interim
	hooks.sending(c.raw)
	a := &replicaResponse{conn: c, pool: p, lastConn: p.lastNumber(), written: make(chan struct{}), ended: make(chan struct{})}
	a.stopWatch = context.AfterFunc(ctx, func() { a.abortAfterGrace(context.Cause(ctx)) })
	err := a.write(o)
	if errors.Is(err, errNotSent) {
		a.abort()
		return nil, err
	}
	if err != nil {
		a.endHead(err)
		return a, nil
	}
	go func() { a.endHead(a.readHead(o.method, id, hooks.read)) }()
	return a, nil
}

// endHead ends the wait for the head of the response.
func (a *replicaResponse) endHead(err error) {
	if err != nil {
		a.headErr = err
		a.abort()
	}
	close(a.ended)
}

// abortGrace is how long the connection of a cancelled request stays open for the head of a
// response. A replica that rejects the request may ask for a backoff in that response, and may ask
// only once; the response arrives within one round trip, about 10 ms between zones. The grace is a
// tenth of the half second after which no replica may still work for a client that has left.
const abortGrace = 50 * time.Millisecond

// cutOffGrace is how long the connection of a response stays open as the gateway's stop ends, and then how long what has
// arrived by then may take to be read: a replica that has sent everything need not be at work any more.
const cutOffGrace = 20 * time.Millisecond

// abortAfterGrace closes the connection of a request that was cancelled for a cause.
func (a *replicaResponse) abortAfterGrace(cause error) {
	closeConn := func() { _ = a.conn.raw.Close() }
	end := closeConn
	cutOff := errors.Is(cause, errCutOff)
	if cutOff {
		end = func() {
			a.conn.endReading()
			time.AfterFunc(cutOffGrace, closeConn)
		}
	}
	switch {
	case !a.headRead.Load():
		time.AfterFunc(abortGrace, end)
	case cutOff:
		time.AfterFunc(cutOffGrace, end)
	default:
		closeConn()
	}
}

func (a *replicaResponse) write(o *outgoingRequest) error {
	head := o.encode()
	if len(o.body) <= maxInlineBodyBytes {
		close(a.written)
		n, err := a.conn.raw.Write(append(head, o.body...))
		if err != nil && n == 0 {
			return errors.Wrap(errNotSent, err.Error())
		}
		if err != nil {
			return noResponse(err)
		}
		return nil
	}
	n, err := a.conn.raw.Write(head)
	if err != nil {
		close(a.written)
		if n == 0 {
			return errors.Wrap(errNotSent, err.Error())
		}
		return noResponse(err)
	}
	done := make(chan struct{})
	a.conn.bodyDone = done
	a.conn.bodyLeft.Store(true)
	go func() {
		defer close(a.written)
		defer close(done)
		// After an error the connection stays open: what the replica has sent before is still to be read.
		if _, err := a.conn.raw.Write(o.body); err == nil {
			a.conn.bodyLeft.Store(false)
		}
	}()
	return nil
}

// noResponse returns errNoResponse with what caused it.
func noResponse(err error) error { return fmt.Errorf("%w: %w", err, errNoResponse) }

// readHead reads the head of the response to the request. A LimitError is returned as it is.
func (a *replicaResponse) readHead(method, id string, read func(int, http.Header) Reply) error {
	belongs := func(response *http.Response) bool {
		a.reply = read(response.StatusCode, response.Header)
		a.conn.saidLeaving = a.conn.saidLeaving || a.reply.Leaving
		return a.reply.answers(id)
	}
	response, err := a.conn.reader.next(method, belongs)
	var tooLong *LimitError
	switch {
	case errors.Is(err, errOtherRequest), errors.As(err, &tooLong):
		return err
	case err != nil:
		return noResponse(err)
	}
	a.response = response
	a.end = bodyEndOf(method, response)
	a.headRead.Store(true)
	return nil
}

// Limits of the body of a response whose head states that the request has not run.
const (
	maxRejectionBytes = 1 << 20
	// rejectionBodyTimeout is how long the body may take. The request waits for it, which saves the
	// connection; the body mostly arrives together with the head.
	rejectionBodyTimeout = 50 * time.Millisecond
)

// discardBody reads the body of a rejection. After an error the connection must not be used again.
func (a *replicaResponse) discardBody(now time.Time) error {
	_ = a.conn.raw.SetReadDeadline(now.Add(rejectionBodyTimeout))
	discarded, err := io.Copy(io.Discard, io.LimitReader(a.response.Body, maxRejectionBytes+1))
	if err == nil && discarded > maxRejectionBytes {
		err = NewLimitError("bytes of the body of a rejection", maxRejectionBytes, discarded)
	}
	return err
}

// reuseConn returns the connection to the pool after the whole body was read.
func (a *replicaResponse) reuseConn(now time.Time) {
	if !a.stopWatch() {
		// The context has ended, so the connection is being closed.
		return
	}
	if !a.reusable() {
		_ = a.conn.raw.Close()
		return
	}
	_ = a.conn.raw.SetDeadline(time.Time{})
	a.pool.put(now, a.conn, a.response.Header)
}

// reusable reports whether the state of the connection is certain: the request was written
// completely and the response had a defined length.
func (a *replicaResponse) reusable() bool {
	select {
	case <-a.written:
	default:
		return false
	}
	framed := a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0
	return framed && !a.conn.bodyLeft.Load() && !a.response.Close && a.conn.reader.empty()
}

// abort closes the connection, which makes the replica stop its work.
func (a *replicaResponse) abort() {
	a.stopWatch()
	_ = a.conn.raw.Close()
}
