package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// bodyWriteBuffer is the send buffer of clients in bytes. It is short, so that a byte that was written has been sent
// soon afterwards.
const bodyWriteBuffer = 32 << 10

// bodyAnswer is what a client saw of a request whose body it sent by a plan.
type bodyAnswer struct {
	// firstByteAt is when the first byte of the request was sent, lastByteAt when its last one was, the zero time if
	// the request was not sent whole.
	firstByteAt, lastByteAt time.Time
	// readAt is when the last byte of the answer came, endedAt when the answer had ended.
	readAt, endedAt time.Time
	// status is 0 if there was no answer.
	status int
	header http.Header
	body   string
	// whole is set if the answer ended in order, framed if it has a length or chunks.
	whole, framed bool
	// reusable is set if the connection may take a further request.
	reusable bool
	// err is what ended the request early, nil if its answer came whole.
	err error
}

// wasReset reports whether the connection was reset while the client was writing, and no answer came.
func (a *bodyAnswer) wasReset() bool {
	return a.status == 0 && a.lastByteAt.IsZero() && (errors.Is(a.err, syscall.ECONNRESET) || errors.Is(a.err, syscall.EPIPE))
}

// exchange sends a request and reads its answer. Unless the plan says otherwise it reads while it writes, and an
// answer that begins early ends the writing.
func (p bodyPlan) exchange(conn net.Conn, id, head string) *bodyAnswer {
	answer, answered := &bodyAnswer{firstByteAt: time.Now()}, make(chan struct{})
	begun := sync.OnceFunc(func() {
		close(answered)
		// A write that waits for the window ends as well.
		_ = conn.SetWriteDeadline(time.Now())
	})
	var lastByteAt time.Time
	var writeErr error
	if p.readsLast {
		lastByteAt, writeErr = p.write(conn, id, head, answered)
		answer.read(conn, begun)
	} else {
		var work sync.WaitGroup
		work.Go(func() { lastByteAt, writeErr = p.write(conn, id, head, answered) })
		answer.read(conn, begun)
		work.Wait()
	}
	answer.lastByteAt, answer.endedAt = lastByteAt, time.Now()
	answer.reusable = answer.reusable && !lastByteAt.IsZero()
	if answer.status == 0 && writeErr != nil {
		answer.err = writeErr
	}
	return answer
}

// write sends a request until an answer begins. It returns when the last byte was sent, the zero time if it was not.
func (p bodyPlan) write(conn net.Conn, id, head string, answered <-chan struct{}) (time.Time, error) {
	began := time.Now()
	for i, part := range p.parts(id) {
		select {
		case <-answered:
			return time.Time{}, nil
		case <-time.After(time.Until(began.Add(part.after))):
		}
		if i == 0 {
			part.bytes = head + part.bytes
		}
		if _, err := io.WriteString(conn, part.bytes); err != nil {
			return time.Time{}, err
		}
	}
	return time.Now(), nil
}

// read reads an answer. begun is called when its head has come, or none comes any more.
func (a *bodyAnswer) read(conn net.Conn, begun func()) {
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	begun()
	if a.err = err; err != nil {
		return
	}
	a.status, a.header, a.framed, a.readAt = response.StatusCode, response.Header, framed(response), time.Now()
	buffer := make([]byte, 4<<10)
	for len(a.body) < maxAnswerBytes {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			a.body, a.readAt = a.body+string(buffer[:n]), time.Now()
		}
		if err != nil {
			a.whole = err == io.EOF
			if !a.whole {
				a.err = err
			}
			break
		}
	}
	a.reusable = a.whole && a.framed && !response.Close
}

// keptConns are the idle connections of clients to an address. They are safe for concurrent use.
type keptConns struct {
	address string

	mu   sync.Mutex
	idle []net.Conn
}

// take returns an idle connection that is open, or a new one.
func (k *keptConns) take(timeout time.Duration) (conn net.Conn, reused bool, err error) {
	for {
		k.mu.Lock()
		last := len(k.idle) - 1
		if last < 0 {
			k.mu.Unlock()
			conn, err := k.dial(timeout)
			return conn, false, err
		}
		conn := k.idle[last]
		k.idle = k.idle[:last]
		k.mu.Unlock()
		if isOpen(conn) {
			return conn, true, nil
		}
		_ = conn.Close()
	}
}

// dial returns a new connection.
func (k *keptConns) dial(timeout time.Duration) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", k.address, timeout)
	if err != nil {
		return nil, err
	}
	_ = conn.(*net.TCPConn).SetWriteBuffer(bodyWriteBuffer)
	return conn, nil
}

// put keeps a connection for a further request.
func (k *keptConns) put(conn net.Conn) {
	_ = conn.SetDeadline(time.Time{})
	k.mu.Lock()
	defer k.mu.Unlock()
	k.idle = append(k.idle, conn)
}

// close closes the idle connections.
func (k *keptConns) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, conn := range k.idle {
		_ = conn.Close()
	}
	k.idle = nil
}

// send sends a request by a plan and reads its answer, for timeout at the most. reused is set if the connection had
// been used before.
func (k *keptConns) send(p bodyPlan, id, head string, timeout time.Duration) (answer *bodyAnswer, reused bool, err error) {
	var conn net.Conn
	if p.kept {
		conn, reused, err = k.take(timeout)
	} else {
		conn, err = k.dial(timeout)
	}
	if err != nil {
		return nil, false, err
	}
	_ = conn.SetDeadline(time.Now().Add(timeout))
	answer = p.exchange(conn, id, head)
	if p.kept && answer.reusable {
		k.put(conn)
	} else {
		_ = conn.Close()
	}
	return answer, reused, nil
}

// isOpen reports whether an idle connection is open at its other end, and nothing has come on it.
func isOpen(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	if err := raw.Control(func(fd uintptr) {
		_, _, peekErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); err != nil {
		return false
	}
	return errors.Is(peekErr, syscall.EAGAIN)
}
