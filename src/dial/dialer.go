package dial

import (
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/fault"
)

// Error is a failure to connect; nothing was sent.
type Error struct {
	address string
	cause   error
}

// Error returns the address and the cause.
func (e *Error) Error() string { return "connecting to " + e.address + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// IsConnectError reports whether an error means that no connection was established.
func IsConnectError(err error) bool {
	var dialErr *Error
	return errors.As(err, &dialErr)
}

// Options holds the timeouts and limits of a client.
type Options struct {
	Dial time.Duration
	// Read is the timeout of the head of a response, and then of each read of its body; with ReadWhole it is that of the whole
	// response.
	Read      time.Duration
	ReadWhole bool
	Write     time.Duration
	// Conns is the maximum number of connections to one backend server.
	Conns int
	// Reuse enables keep-alive connections.
	Reuse bool
	// MaxBody is the longest body of a response that is kept whole.
	MaxBody int
}

// Client is an HTTP client whose responses can be aborted. It is safe for concurrent use.
type Client struct {
	*client.Client
	dialer  *dialer
	maxBody int
}

// maxIdleTime is how long an unused connection is kept. It is shorter than the idle timeout of backend
// servers.
const maxIdleTime = 20 * time.Second

// New returns a client. cut simulates network partitions in tests and may be nil.
func New(cut *fault.Cut, options Options) (*Client, error) {
	d := &dialer{Dialer: cut.NewDialer(), maxBody: options.MaxBody, readWhole: options.ReadWhole, conns: map[endpoints]*trackedConn{}}
	c, err := client.NewClient(
		client.WithDialer(d),
		client.WithDialTimeout(options.Dial),
		client.WithClientReadTimeout(options.Read),
		client.WithWriteTimeout(options.Write),
		client.WithMaxConnsPerHost(options.Conns),
		client.WithMaxIdleConnDuration(maxIdleTime),
		client.WithKeepAlive(options.Reuse),
		client.WithResponseBodyStream(true),
		client.WithNoDefaultUserAgentHeader(true),
	)
	if err != nil {
		return nil, errors.Wrap(err, "creating an HTTP client")
	}
	return &Client{Client: c, dialer: d, maxBody: options.MaxBody}, nil
}

// Abort closes the connection of a response. Reading the response fails at once, and the
// connection is not reused.
func (c *Client) Abort(response *protocol.Response) {
	if local, remote := response.LocalAddr(), response.RemoteAddr(); local != nil && remote != nil {
		c.dialer.abort(endpointsOf(local, remote))
	}
}

// endpoints identify a connection. The operating system may use one local address for connections to several
// remote ones at a time, so that neither of them does alone.
type endpoints struct {
	local  string
	remote string
}

func endpointsOf(local, remote net.Addr) endpoints {
	return endpoints{local: local.String(), remote: remote.String()}
}

type dialer struct {
	network.Dialer
	maxBody   int
	readWhole bool
	mu        sync.Mutex
	conns     map[endpoints]*trackedConn
}

// DialConnection connects and registers the connection by its endpoints.
func (d *dialer) DialConnection(n, address string, timeout time.Duration, tlsConfig *tls.Config) (network.Conn, error) {
	conn, err := d.Dialer.DialConnection(n, address, timeout, tlsConfig)
	if err != nil {
		return nil, &Error{address: address, cause: err}
	}
	ends := endpointsOf(conn.LocalAddr(), conn.RemoteAddr())
	tracked := &trackedConn{Conn: conn, dialer: d, ends: ends, maxKept: d.maxBody}
	d.mu.Lock()
	d.conns[ends] = tracked
	d.mu.Unlock()
	return tracked, nil
}

func (d *dialer) abort(ends endpoints) {
	if conn := d.find(ends); conn != nil {
		_ = conn.Close()
	}
}

// find returns the open connection with the given endpoints, nil if there is none.
func (d *dialer) find(ends endpoints) *trackedConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.conns[ends]
}

func (d *dialer) remove(ends endpoints, conn *trackedConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns[ends] == conn {
		delete(d.conns, ends)
	}
}

type trackedConn struct {
	network.Conn
	dialer *dialer
	ends   endpoints
	once   sync.Once
	closed atomic.Bool
	err    error
	// headPending is set until the head of the response to the last request has been checked.
	headPending bool
	// readErr is the first error of a read since the last request.
	readErr error
	// kept is how many bytes were read since the last release of their memory, maxKept how many there may be.
	kept, maxKept int
	// readTimeout is that of each read of a body.
	readTimeout time.Duration
}

// Close closes the connection once.
func (c *trackedConn) Close() error {
	c.once.Do(func() {
		c.closed.Store(true)
		c.dialer.remove(c.ends, c)
		c.err = c.Conn.Close()
	})
	return c.err
}

// SetReadTimeout sets the timeout of the head of a response and of each later read.
func (c *trackedConn) SetReadTimeout(t time.Duration) error {
	c.readTimeout = t
	return c.Conn.SetReadTimeout(t)
}

// await waits until n bytes can be read without waiting. Each wait for some of them has a timeout of its own: the
// underlying connection would count it from the last call of SetReadTimeout.
func (c *trackedConn) await(n int) error {
	for !c.dialer.readWhole && c.Len() < n {
		if err := c.Conn.SetReadTimeout(c.readTimeout); err != nil {
			return err
		}
		if _, err := c.Conn.Peek(c.Len() + 1); err != nil {
			return err
		}
	}
	return nil
}

// SetWriteTimeout is called by Hertz before it writes a request. For a connection that was
// aborted and is then reused, it returns an Error to report that nothing was sent.
func (c *trackedConn) SetWriteTimeout(t time.Duration) error {
	if c.closed.Load() {
		return &Error{address: c.RemoteAddr().String(), cause: net.ErrClosed}
	}
	c.headPending, c.readErr = true, nil
	// Hertz reads a body that ends with its connection whole before it returns the response.
	c.kept, c.maxKept = 0, c.dialer.maxBody
	return c.Conn.SetWriteTimeout(t)
}

// Peek returns the next n bytes. Before the first bytes of a response it waits for its whole head.
func (c *trackedConn) Peek(n int) ([]byte, error) {
	if c.headPending {
		if err := c.awaitHead(); err != nil {
			return nil, c.noteRead(err)
		}
		c.headPending = false
	}
	if n > c.Len() && c.kept+n > c.maxKept {
		return nil, c.noteRead(errTooLong)
	}
	if err := c.await(n); err != nil {
		return nil, c.noteRead(err)
	}
	p, err := c.Conn.Peek(n)
	return p, c.noteRead(err)
}

// Skip discards the next n bytes.
func (c *trackedConn) Skip(n int) error {
	c.kept += n
	return c.Conn.Skip(n)
}

// Release releases the memory of the bytes that were read.
func (c *trackedConn) Release() error {
	c.kept = 0
	return c.Conn.Release()
}

// Read reads bytes of a body.
func (c *trackedConn) Read(p []byte) (int, error) {
	if err := c.await(min(len(p), 1)); err != nil {
		return 0, c.noteRead(err)
	}
	n, err := c.Conn.Read(p)
	return n, c.noteRead(err)
}

// ReadByte reads one byte of a body.
func (c *trackedConn) ReadByte() (byte, error) {
	if c.kept >= c.maxKept {
		return 0, c.noteRead(errTooLong)
	}
	if err := c.await(1); err != nil {
		return 0, c.noteRead(err)
	}
	p, err := c.Conn.ReadByte()
	c.kept++
	return p, c.noteRead(err)
}

// ReadBinary reads n bytes of a body.
func (c *trackedConn) ReadBinary(n int) ([]byte, error) {
	if err := c.await(n); err != nil {
		return nil, c.noteRead(err)
	}
	p, err := c.Conn.ReadBinary(n)
	return p, c.noteRead(err)
}

// noteRead keeps the first error of a read and returns the error.
func (c *trackedConn) noteRead(err error) error {
	if c.readErr == nil {
		c.readErr = err
	}
	return err
}

// ToHertzError converts network errors to those of hertz if the underlying connection supports it.
func (c *trackedConn) ToHertzError(err error) error {
	if normal, ok := c.Conn.(network.ErrorNormalization); ok {
		return normal.ToHertzError(err)
	}
	return err
}

var _ net.Conn = (*trackedConn)(nil)
