package rpc

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/fault"
)

// Timeouts for connecting to a peer. The urgent ones are for a process that has no connection to any
// peer and cannot provide service until it has one.
const (
	// redialDelay is the minimum time from a failed dial to the next one.
	redialDelay       = 200 * time.Millisecond
	urgentRedialDelay = 20 * time.Millisecond
	// urgentDialTimeout allows many round trips between availability zones. It limits a dial to a
	// host that is powered off and never answers.
	urgentDialTimeout = 80 * time.Millisecond
)

// ErrUnreachable is returned by calls when no connection can be made.
var ErrUnreachable = errors.New("the peer can't be reached")

// Client is a connection to one address. It connects on demand and reconnects after a
// failure. It is safe for concurrent use.
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

// NewClient returns a client for an address. mux handles the messages that the peer sends. If nothing
// is received for the duration silence, the client sends a ping, and closes the connection if that is not
// answered within the same duration. cut simulates network partitions in tests and may be nil.
func NewClient(address string, mux *Mux, meter *Meter, cut *fault.Cut, silence time.Duration) *Client {
	return &Client{address: address, mux: mux, meter: meter, cut: cut, silence: silence}
}

// SetUrgent sets the function that reports whether dials are urgent. It must be called
// before the client is used.
func (c *Client) SetUrgent(urgent func() bool) { c.urgent = urgent }

// dialTiming returns the delay between dials and the timeout of a dial.
func (c *Client) dialTiming() (delay, timeout time.Duration) {
	if c.urgent != nil && c.urgent() {
		return urgentRedialDelay, urgentDialTimeout
	}
	return redialDelay, dialTimeout
}

// Address returns the peer's address.
func (c *Client) Address() string { return c.address }

// Call sends a request and waits for the response.
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
	return conn.call(ctx, method, raw, result)
}

// Notify sends a message without a response. The context limits the wait for a connection.
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

// Done returns a channel that is closed when the current connection ends. It
// is already closed if there is no connection.
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

// Disconnect closes the current connection. The next call opens a new one.
func (c *Client) Disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// Close closes the connection permanently.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// connect returns the open connection, or waits for the dial in progress.
func (c *Client) connect(ctx context.Context) (*connection, error) {
	delay, timeout := c.dialTiming()
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
		if time.Since(c.failedAt) < delay {
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

// watch closes the connection if the peer is unresponsive, for example because of a network partition.
// It sends a ping only when nothing was received for a while.
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
