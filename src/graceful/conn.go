package graceful

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a server's connection to a client. Whether it is idle is decided by the bytes that its server has
// read, since a server may hold a part of a request without a sign of it.
type Conn struct {
	*net.TCPConn
	raw      syscall.RawConn
	listener *Listener
	// tryRead is readOnce, which reads into buffer and sets n and readErr.
	tryRead func(fd uintptr) bool
	buffer  []byte
	n       int
	readErr error

	mu sync.Mutex
	// waiting is set while a Read waits for bytes.
	waiting bool
	// busy is set once bytes of a request were read, until SetIdle.
	busy      bool
	idleSince time.Time
	// ended is set once the connection was shut down. What arrives as that happens is not read: it could not
	// be answered any more.
	ended bool
	// lingering is set while what the client sends is dropped.
	lingering bool
	// resets is set if a close must reset the connection.
	resets bool
}

// Read reads bytes of a request. It must not be called while another Read is in progress.
func (c *Conn) Read(p []byte) (int, error) {
	c.buffer = p
	err := c.raw.Read(c.tryRead)
	n, readErr := c.n, c.readErr
	c.buffer = nil
	c.mu.Lock()
	c.waiting = false
	c.mu.Unlock()
	switch {
	case err != nil:
		if op, ok := err.(*net.OpError); ok {
			op.Op = "read"
		}
		return 0, err
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", readErr)}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}

// readOnce reads what has arrived; it reports false if nothing has. It holds the lock for the system call, so
// that the connection is not closed as idle with bytes that were read.
func (c *Conn) readOnce(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		c.n, c.readErr = 0, nil
		return true
	}
	for c.n, c.readErr = syscall.Read(int(fd), c.buffer); c.readErr == syscall.EINTR; {
		c.n, c.readErr = syscall.Read(int(fd), c.buffer)
	}
	c.waiting = c.readErr == syscall.EAGAIN
	c.busy = c.busy || c.n > 0
	return !c.waiting
}

// Write writes a part of a response.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if c.listener.idleAfterWrites {
		c.SetIdle(time.Now())
	}
	return n, err
}

// SetBusy tells that the server works on a request. It may have read it together with the one before.
func (c *Conn) SetBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
}

// SetIdle tells that the server has responded to the last request.
func (c *Conn) SetIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.idleSince = false, now
}

// isBusy reports whether a request was read to which the server has not responded.
func (c *Conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy && !c.ended
}

// closeIdle shuts the connection down if it has been idle for idleWait and nothing has arrived. Its server
// reads the end of the connection then.
func (c *Conn) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.busy || !c.waiting || now.Sub(c.idleSince) < idleWait {
		return
	}
	_ = c.raw.Control(func(fd uintptr) {
		var one [1]byte
		if _, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err == syscall.EAGAIN {
			c.ended = true
			_ = syscall.Shutdown(int(fd), syscall.SHUT_RDWR)
		}
	})
}

// SetLinger sets what Close does, as for a *net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	c.mu.Lock()
	c.resets = seconds == 0
	c.mu.Unlock()
	return c.TCPConn.SetLinger(seconds)
}

// CloseWrite ends the last response. What the client still sends is dropped.
func (c *Conn) CloseWrite() error {
	c.linger()
	return nil
}

// Close closes the connection. If a request was read and no other is awaited, its client may still be sending: what
// comes is read and dropped for a while, as the kernel would reset the connection otherwise, and the reset can
// overtake the response.
func (c *Conn) Close() error {
	if c.linger() {
		return nil
	}
	return c.finish()
}

// linger shuts the writing side down and drops what the client sends, until it closes. It reports false if the
// connection can be closed at once.
func (c *Conn) linger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingering {
		return true
	}
	if c.ended || c.resets || !c.busy {
		return false
	}
	c.ended, c.lingering = true, true
	_ = c.TCPConn.CloseWrite()
	_ = c.SetDeadline(time.Unix(1, 0)) // ends the calls of Read and Write in progress
	go c.drop(time.Now())
	return true
}

// drop reads and drops what the client sends and closes the connection.
func (c *Conn) drop(began time.Time) {
	defer func() { _ = c.finish() }()
	buffer := make([]byte, dropBytes)
	pause := minDropPause
	for last := began; ; time.Sleep(pause) {
		n, open := c.readAll(buffer)
		now := time.Now()
		if n > 0 {
			last, pause = now, minDropPause
		}
		if !open || now.Sub(last) >= dropIdleWait || now.Sub(began) >= dropLimit {
			return
		}
		pause = min(2*pause, maxDropPause)
	}
}

// readAll reads what has arrived, up to dropBurst. It reports false once the client has closed the connection.
func (c *Conn) readAll(buffer []byte) (n int, open bool) {
	open = true
	err := c.raw.Control(func(fd uintptr) {
		for n < dropBurst {
			read, _, err := syscall.Recvfrom(int(fd), buffer, syscall.MSG_DONTWAIT)
			switch {
			case err == syscall.EINTR:
			case read > 0:
				n += read
			default:
				open = err == syscall.EAGAIN
				return
			}
		}
	})
	return n, open && err == nil
}

func (c *Conn) finish() error {
	c.listener.remove(c)
	return c.TCPConn.Close()
}
