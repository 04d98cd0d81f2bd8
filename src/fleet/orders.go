package fleet

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/exchange"
	"github.com/moorspool/moorspool/src/placer"
)

const (
	// orderIdle is how long an idle connection for orders is kept open.
	orderIdle = 4 * time.Second
	// maxOrderHeadBytes and maxOrderBodyBytes limit the head and the body of a response to an order or a
	// report request. After a change of leader many replicas are asked at once.
	maxOrderHeadBytes = 32 << 10
	maxOrderBodyBytes = 256 << 10
)

// errLeaseEnded means that an order was not sent because this node may no longer lead.
var errLeaseEnded = errors.New("the lease ended before the order was sent")

// orderClient returns the client that sends orders and report requests to replicas. It keeps one idle
// connection per replica for a short time. tooLong is called if a response exceeds a limit.
func orderClient(tooLong func(address string, err *exchange.LimitError)) *http.Client {
	return &http.Client{Transport: &orderTransport{
		transport: &http.Transport{
			DialContext:            dialForOrders,
			MaxIdleConnsPerHost:    1,
			IdleConnTimeout:        orderIdle,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxOrderHeadBytes,
		},
		tooLong: tooLong,
	}}
}

// orderTransport sends requests of control nodes to replicas and limits what is read of the responses.
type orderTransport struct {
	transport *http.Transport
	tooLong   func(address string, err *exchange.LimitError)
}

// RoundTrip sends a request and returns its response, whose body ends with an error at its limit.
func (t *orderTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used *orderConn
	trace := &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) {
		if used, _ = got.Conn.(*orderConn); used != nil {
			used.mayBegin = placer.SendCheck(request.Context())
		}
	}}
	response, err := t.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		if used != nil && used.responseBytes.Load() >= maxOrderHeadBytes {
			t.tooLong(request.URL.Host, exchange.NewLimitError("bytes of heads before a response", maxOrderHeadBytes, used.responseBytes.Load()))
		}
		return nil, err
	}
	exceeded := func(err *exchange.LimitError) { t.tooLong(request.URL.Host, err) }
	response.Body = &orderBody{ReadCloser: response.Body, left: maxOrderBodyBytes, exceeded: exceeded}
	return response, nil
}

// orderBody is the body of a response, which ends with an error at a limit.
type orderBody struct {
	io.ReadCloser
	left     int
	exceeded func(err *exchange.LimitError)
	// err is returned once the limit is exceeded.
	err error
}

// Read returns an exchange.LimitError once the replica has sent more than the limit.
func (b *orderBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), b.left+1)])
	if n <= b.left {
		b.left -= n
		return n, err
	}
	tooLong := exchange.NewLimitError("bytes of the body of a response", maxOrderBodyBytes, maxOrderBodyBytes+1)
	b.err = tooLong
	b.exceeded(tooLong)
	return b.left, tooLong
}

// orderConn asks before the first byte of an order whether it may be sent, and counts the bytes that arrived since the
// last request was written.
type orderConn struct {
	net.Conn
	// mayBegin is nil once a request has begun, and for those that need no lease.
	mayBegin      func() bool
	responseBytes atomic.Int64
}

// Read reads from the connection.
func (c *orderConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.responseBytes.Add(int64(n))
	return n, err
}

// Write writes a request to the connection.
func (c *orderConn) Write(p []byte) (int, error) {
	c.responseBytes.Store(0)
	if mayBegin := c.mayBegin; mayBegin != nil {
		c.mayBegin = nil
		if !mayBegin() {
			return 0, errLeaseEnded
		}
	}
	return c.Conn.Write(p)
}

// dialForOrders opens a connection that is reset when it is closed. Otherwise the operating system
// keeps retransmitting an abandoned order over a broken link, and delivers it when the link is
// back, after those of the next leader.
func dialForOrders(ctx context.Context, _, address string) (net.Conn, error) {
	conn, err := exchange.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	tcp, found := conn.(*net.TCPConn)
	if !found {
		return conn, nil
	}
	if err := tcp.SetLinger(0); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "setting the linger time")
	}
	return &orderConn{Conn: tcp}, nil
}
