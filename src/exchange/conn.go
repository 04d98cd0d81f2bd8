package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// The connections' times and bounds.
const (
	// dialTimeout bounds the dials to the only replica that can be chosen, dialAttempt
	// each of them, and the one dial where there is another choice. The kernel repeats
	// a lost opening packet only after a second; a hundred milliseconds are many round
	// trips within a region.
	dialTimeout = 400 * time.Millisecond
	dialAttempt = 100 * time.Millisecond
	// idleLimit is how long a connection is kept for reuse when the replica names no time.
	idleLimit = 10 * time.Second
	// idleMargin keeps clear of the moment at which the replica closes.
	idleMargin = time.Second
	// maxIdle bounds the kept connections to one replica.
	maxIdle = 32
	// readBuffer is the size of a connection's read buffer.
	readBuffer = 4096
)

// conn is a connection to a replica that serves one request at a time.
type conn struct {
	raw    net.Conn
	reader *bufio.Reader
	reused bool
	// until is when the replica may close the idle connection.
	until time.Time
	// answered is set once a byte of the present answer has come.
	answered bool
}

// pool keeps idle connections to one incarnation of a replica, the latest used
// first, so that few stay open; it is safe for concurrent use.
type pool struct {
	address string
	dial    func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	idle   []*conn
	closed bool
	opened int
	// breaks counts the connections that the other side broke, or refused.
	breaks int
}

func newPool(address string, dial func(ctx context.Context, address string) (net.Conn, error)) *pool {
	return &pool{address: address, dial: dial}
}

// Dial opens a TCP connection for requests.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp4", address)
}

// get returns an idle connection that is still sound, or a new one that comes up
// within a time. After an error not a byte was sent.
func (p *pool) get(ctx context.Context, within time.Duration, now time.Time) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			break
		}
		if now.Before(c.until) && quiet(c) {
			c.reused = true
			c.answered = false
			return c, nil
		}
		if now.Before(c.until) {
			p.broke()
		}
		_ = c.raw.Close()
	}
	raw, err := p.connect(ctx, within)
	if err != nil {
		p.broke()
		return nil, errors.Wrap(err, "connecting")
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &conn{raw: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// connect dials until a connection is up, one is refused, or the time is over.
func (p *pool) connect(ctx context.Context, within time.Duration) (net.Conn, error) {
	for {
		attempt, cancel := context.WithTimeout(ctx, min(within, dialAttempt))
		raw, err := p.dial(attempt, p.address)
		silent := attempt.Err() != nil
		cancel()
		within -= dialAttempt
		if err == nil || !silent || within <= 0 || ctx.Err() != nil {
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

// put keeps a connection whose last answer is whole and that says nothing more.
func (p *pool) put(now time.Time, c *conn, header http.Header) {
	keep := idleTime(header)
	if keep <= 0 {
		_ = c.raw.Close()
		return
	}
	c.until = now.Add(keep)
	p.keep(c)
}

// broke counts a connection that the other side broke, or refused.
func (p *pool) broke() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breaks++
}

// lookForBreaks counts a break if an idle connection was broken; it returns how many breaks there
// were, and whether an idle connection still stands.
func (p *pool) lookForBreaks() (breaks int, stands bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		if !quiet(c) {
			p.breaks++
			return p.breaks, false
		}
		stands = true
	}
	return p.breaks, stands
}

// giveBack keeps a connection on which nothing was sent.
func (p *pool) giveBack(now time.Time, c *conn) {
	if !c.reused {
		c.until = now.Add(idleMargin)
	}
	p.keep(c)
}

// keep keeps an idle connection.
func (p *pool) keep(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdle {
		_ = c.raw.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// expire closes the connections whose time is over.
func (p *pool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.until) {
			kept = append(kept, c)
			continue
		}
		_ = c.raw.Close()
	}
	p.idle = kept
}

// close closes the idle connections and keeps none from now on.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.raw.Close()
	}
	p.idle = nil
}

// idleTime returns how long a connection may rest, by the replica's word.
func idleTime(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			return 0
		}
		return min(time.Duration(seconds)*time.Second-idleMargin, idleLimit)
	}
	return idleLimit
}

// quiet reports whether an idle connection is open and has sent nothing: bytes
// that come without a request belong to no request.
func quiet(c *conn) bool {
	if c.reader.Buffered() > 0 {
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
