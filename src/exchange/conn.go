package exchange

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Timeouts and limits of connections.
const (
	// dialTimeout limits all dials to a replica if no other can be chosen. dialAttempt limits each
	// of them, and the only dial if there is another choice. The kernel repeats a lost SYN packet
	// only after a second; a hundred milliseconds are many round trips within a region.
	dialTimeout = 400 * time.Millisecond
	dialAttempt = 100 * time.Millisecond
	// maxIdleTime is the longest time for which an idle connection is kept, also if the replica
	// names no time.
	maxIdleTime = 10 * time.Second
	// idleMargin is subtracted from the time that the replica names, so that a connection is not
	// used while the replica closes it.
	idleMargin = time.Second
	// maxIdleConns is the maximum number of idle connections to one replica.
	maxIdleConns = 32
	// receiveBufferBytes is the receive buffer of a connection. What has arrived there and is not read
	// takes memory, for as long as a client reads slowly. The kernel would let it grow to megabytes,
	// which only a body of that size gains from.
	receiveBufferBytes = 128 << 10
)

// conn is a connection to a replica. It serves one request at a time.
type conn struct {
	raw    net.Conn
	reader *responseReader
	reused bool
	// reusableUntil is until when the idle connection can be used. The replica may close it after
	// that.
	reusableUntil time.Time
	// answered is set once a byte of the current response has arrived.
	answered bool
	// saidLeaving is set once a response on it said that the replica is leaving.
	saidLeaving bool
	// number is which one of its pool's connections it was when it was established, from 1; 0 if it was not counted.
	number int
	// readingEnded is set once endReading was called.
	readingEnded atomic.Bool
	// bodyLeft is set while a part of the request's body has not been written, bodyDone closed once no more of it is; nil for
	// one that is written with its head.
	bodyLeft atomic.Bool
	bodyDone chan struct{}
}

// errBodyUnread is the end of a connection whose replica has not read the whole request. It is no end of a response: the
// kernel resets such a connection, and only the first call after that is told of the reset.
var errBodyUnread = fmt.Errorf("it closed the connection with a part of the request unread: %w", syscall.ECONNRESET)

// pool keeps idle connections to one incarnation of a replica. The most recently used one is taken
// first, so that few stay open. It is safe for concurrent use.
type pool struct {
	address string
	dial    func(ctx context.Context, address string) (net.Conn, error)
	// dialed is told the error of each attempt to connect, or nil; it may be nil itself.
	dialed func(err error)
	// witnessed is called when there is a new witness; it may be nil.
	witnessed func()

	mu   sync.Mutex
	idle []*conn
	// witness is an idle connection on which the replica said that it is leaving, nil if there is none. It
	// stays open to tell which start said so, and gets no requests.
	witness *conn
	closed  bool
	opened  int
	// brokenConns counts the connections that broke or could not be established.
	brokenConns int
}

func newPool(address string, dial func(ctx context.Context, address string) (net.Conn, error)) *pool {
	return &pool{address: address, dial: dial}
}

// keepAlive ends a connection, idle or not, to a host that has been silent for three seconds. A host that
// is alive answers probes itself, however long its process is silent; one of two lost probes ends
// nothing. TCP_USER_TIMEOUT stays unset: it would decide instead of the count, and would also end a
// connection to a process that does not read for that long.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Dial opens a TCP connection for requests.
func Dial(ctx context.Context, address string) (net.Conn, error) { return dialFrom(ctx, nil, address) }

// DialFrom returns a function that opens TCP connections for requests from a local address.
func DialFrom(local net.IP) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialFrom(ctx, &net.TCPAddr{IP: local}, address)
	}
}

func dialFrom(ctx context.Context, local net.Addr, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, LocalAddr: local}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	if tcp, found := conn.(*net.TCPConn); found {
		if err := tcp.SetReadBuffer(receiveBufferBytes); err != nil {
			_ = conn.Close()
			return nil, errors.Wrap(err, "setting the receive buffer")
		}
	}
	return conn, nil
}

// get returns an idle connection that is still open, or a new one that is established within the
// given time. If it returns an error, no byte was sent.
func (p *pool) get(ctx context.Context, timeout time.Duration, now time.Time) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			break
		}
		if now.Before(c.reusableUntil) && openAndSilent(c) {
			c.reused = true
			c.answered = false
			return c, nil
		}
		if now.Before(c.reusableUntil) {
			p.connectionBroke()
		}
		_ = c.raw.Close()
	}
	raw, err := p.connect(ctx, timeout)
	if err != nil {
		p.connectionBroke()
		return nil, errors.Wrap(err, "connecting")
	}
	c := newConn(raw)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened++
	c.number = p.opened
	return c, nil
}

func newConn(raw net.Conn) *conn {
	c := &conn{raw: raw}
	c.reader = newResponseReader(c)
	return c
}

// Read reads from the connection. An end that endReading has made, or that comes before the whole request was written, is
// an error, not the end of a response.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.raw.Read(p)
	switch {
	case err != io.EOF:
	case c.readingEnded.Load():
		err = net.ErrClosed
	case !c.wroteBody():
		err = errBodyUnread
	}
	return n, err
}

// wroteBody reports whether the whole request has been written as its connection is closed. The writer may be about to note
// that.
func (c *conn) wroteBody() bool {
	if !c.bodyLeft.Load() {
		return true
	}
	select {
	case <-c.bodyDone:
	case <-time.After(closerPause):
	}
	return !c.bodyLeft.Load()
}

// endReading lets the reader of the connection read what has arrived and nothing else. A close would drop it.
func (c *conn) endReading() {
	c.readingEnded.Store(true)
	half, found := c.raw.(interface{ CloseRead() error })
	if !found || half.CloseRead() != nil {
		_ = c.raw.Close()
	}
}

// connect dials until a connection is established, one is refused, or the time is over.
func (p *pool) connect(ctx context.Context, timeout time.Duration) (net.Conn, error) {
	raw, err := p.dialUntil(ctx, timeout)
	if p.dialed != nil && (err == nil || ctx.Err() == nil) {
		p.dialed(err)
	}
	return raw, err
}

func (p *pool) dialUntil(ctx context.Context, timeout time.Duration) (net.Conn, error) {
	for {
		attempt, cancel := context.WithTimeout(ctx, min(timeout, dialAttempt))
		raw, err := p.dial(attempt, p.address)
		// A dialer may give up at the deadline of its context before the context has ended.
		timedOut := attempt.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded)
		cancel()
		timeout -= dialAttempt
		if err == nil || !timedOut || timeout <= 0 || ctx.Err() != nil {
			return raw, err
		}
	}
}

func (p *pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// put keeps a connection whose last response was read completely.
func (p *pool) put(now time.Time, c *conn, header http.Header) {
	keep := keepAliveTime(header)
	if keep <= 0 {
		_ = c.raw.Close()
		return
	}
	c.reusableUntil = now.Add(keep)
	p.keep(c)
}

// connectionBroke counts a connection that broke or could not be established.
func (p *pool) connectionBroke() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.brokenConns++
}

// checkIdle counts a broken connection if one of the idle connections is broken. It returns the
// number of broken connections so far and whether an idle connection is still open.
func (p *pool) checkIdle() (brokenConns int, connected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		if !openAndSilent(c) {
			p.brokenConns++
			return p.brokenConns, false
		}
		connected = true
	}
	return p.brokenConns, connected
}

// lastNumber returns the number of the connection that was established last.
func (p *pool) lastNumber() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// isOpen reports whether an idle connection up to a number is open.
func (p *pool) isOpen(number int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, func(c *conn) bool { return c.number > 0 && c.number <= number && openAndSilent(c) })
}

// putUnused keeps a connection on which nothing was sent.
func (p *pool) putUnused(now time.Time, c *conn) {
	if !c.reused {
		c.reusableUntil = now.Add(idleMargin)
	}
	p.keep(c)
}

// keep adds an idle connection to the pool.
func (p *pool) keep(c *conn) {
	if c.saidLeaving {
		p.keepWitness(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns {
		_ = c.raw.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// expire closes idle connections that must not be used any more.
func (p *pool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.witness != nil && !now.Before(p.witness.reusableUntil) {
		p.closeWitness()
	}
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.reusableUntil) {
			kept = append(kept, c)
			continue
		}
		_ = c.raw.Close()
	}
	p.idle = kept
}

// close closes the idle connections. The pool keeps none for requests from then on.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeWitness()
	p.closed = true
	for _, c := range p.idle {
		_ = c.raw.Close()
	}
	p.idle = nil
}

// keepAliveTime returns how long a connection may be idle according to the Keep-Alive header.
func keepAliveTime(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			return 0
		}
		return min(time.Duration(seconds)*time.Second-idleMargin, maxIdleTime)
	}
	return maxIdleTime
}

// openAndSilent reports whether an idle connection is open and has received nothing. Bytes that
// arrive without a request belong to no request.
func openAndSilent(c *conn) bool {
	if !c.reader.empty() {
		return false
	}
	sys, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	sound := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		sound = n <= 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && sound
}
