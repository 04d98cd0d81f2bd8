package rpc

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/fault"
)

// The pauses and bounds of dialing a peer that doesn't answer. Urgent ones are for
// a process that reaches no peer at all: each lost moment is one without service.
const (
	// redialAfter bounds how often a client dials.
	redialAfter       = 200 * time.Millisecond
	redialAfterUrgent = 20 * time.Millisecond
	// dialTimeoutUrgent is many round trips between availability zones, and ends a
	// dial to a host without power, which never answers.
	dialTimeoutUrgent = 80 * time.Millisecond
)

// ErrUnreachable is what a call ends with when there is no connection.
var ErrUnreachable = errors.New("the peer can't be reached")

// Client is a connection to one address that is made when needed and made
// again after it was lost; it is safe for concurrent use.
type Client struct {
	address string
	mux     *Mux
	meter   *Meter
	cut     *fault.Cut
	silence time.Duration
	urgent  func() bool

	mu       sync.Mutex
	conn     *connection
	dialing  chan struct{}
	failedAt time.Time
	closed   bool
}

// NewClient returns a client of an address; mux takes what the peer sends on
// its own. A connection on which a ping is not answered within silence is ended.
func NewClient(address string, mux *Mux, meter *Meter, cut *fault.Cut, silence time.Duration) *Client {
	return &Client{address: address, mux: mux, meter: meter, cut: cut, silence: silence}
}

// SetUrgent sets the function that tells whether dials are urgent; it is called
// before the client is used.
func (c *Client) SetUrgent(urgent func() bool) { c.urgent = urgent }

// pace returns the pause between dials and the bound of one.
func (c *Client) pace() (pause, timeout time.Duration) {
	if c.urgent != nil && c.urgent() {
		return redialAfterUrgent, dialTimeoutUrgent
	}
	return redialAfter, dialTimeout
}

// Address returns the peer's address.
func (c *Client) Address() string { return c.address }

// Call sends a request and waits for its answer.
func (c *Client) Call(ctx context.Context, method string, params, result any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	raw, err := encode(params)
	if err != nil {
		return err
	}
	c.meter.sent(method, len(raw))
	return conn.Call(ctx, method, raw, result)
}

// Notify sends a message that wants no answer; the context bounds the wait for a connection.
func (c *Client) Notify(ctx context.Context, method string, params any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return err
	}
	n, err := NewNotification(method, params)
	if err != nil {
		return err
	}
	return conn.notify(n)
}

// Done returns a channel that is closed when the present connection ends; it
// is closed already if there is none.
func (c *Client) Done() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn.DisconnectNotify()
	}
	ended := make(chan struct{})
	close(ended)
	return ended
}

// Disconnect ends the present connection; the next call makes a new one.
func (c *Client) Disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// Close ends the connection for good.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// connect returns the live connection, or waits for the one dial under way.
func (c *Client) connect(ctx context.Context) (*connection, error) {
	pause, timeout := c.pace()
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, ErrUnreachable
	}
	if c.conn != nil && !c.conn.ended() {
		conn := c.conn
		c.mu.Unlock()
		return conn, nil
	}
	if c.dialing == nil {
		if time.Since(c.failedAt) < pause {
			c.mu.Unlock()
			return nil, errors.Wrap(ErrUnreachable, c.address)
		}
		c.dialing = make(chan struct{})
		go c.dial(c.dialing, timeout)
	}
	dialing := c.dialing
	c.mu.Unlock()
	select {
	case <-dialing:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil || c.conn.ended() {
		return nil, errors.Wrap(ErrUnreachable, c.address)
	}
	return c.conn, nil
}

func (c *Client) dial(done chan struct{}, timeout time.Duration) {
	raw, err := c.cut.Dial("tcp", c.address, timeout)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(done)
	c.dialing = nil
	if err != nil {
		c.failedAt = time.Now()
		return
	}
	metered := &meteredConn{Conn: raw, meter: c.meter}
	conn := connect(metered, c.mux)
	if c.closed {
		_ = conn.Close()
		return
	}
	c.conn = conn
	go c.watch(conn, metered)
}

// watch ends a connection whose peer has gone silent, as after a cut. A ping is
// sent only when nothing else came for a while.
func (c *Client) watch(conn *connection, raw *meteredConn) {
	ticker := time.NewTicker(c.silence)
	defer ticker.Stop()
	for {
		select {
		case <-conn.DisconnectNotify():
			return
		case <-ticker.C:
		}
		if raw.silentFor() < c.silence {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), c.silence)
		err := conn.Call(ctx, methodPing, struct{}{}, nil)
		cancel()
		if err != nil {
			_ = conn.Close()
			return
		}
	}
}
