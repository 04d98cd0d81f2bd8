package graceful

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

const (
	message    = "ping"
	testSeeds  = 30
	testConns  = 64
	sendSpread = 2 * time.Millisecond
	testLimit  = 10 * time.Second
)

// echo answers messages until the connection ends. It counts those that it has read a byte of and those that
// it has answered.
func echo(conn *Conn, read, answered *atomic.Int64) {
	defer conn.Close()
	buffer := make([]byte, len(message))
	for {
		n, err := io.ReadFull(conn, buffer)
		if n > 0 {
			read.Add(1)
		}
		if err != nil {
			return
		}
		if _, err := conn.Write(buffer); err == nil {
			answered.Add(1)
		}
		conn.SetIdle(time.Now().Add(-idleWait))
	}
}

// TestNothingThatWasReadIsDropped: clients send while their idle connections are closed.
func TestNothingThatWasReadIsDropped(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(testSeeds) {
		random := rand.New(rand.NewPCG(seed, 0))
		listener, err := Listen("127.0.0.1:0")
		is.NoErr(err)
		var read, answered, received atomic.Int64
		var servers, clients sync.WaitGroup
		servers.Go(func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				servers.Go(func() { echo(conn.(*Conn), &read, &answered) })
			}
		})
		var warm sync.WaitGroup
		for range testConns {
			conn, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			wait := time.Duration(random.Int64N(int64(sendSpread)))
			warm.Add(1)
			clients.Go(func() {
				defer conn.Close()
				buffer := make([]byte, len(message))
				for i := range 2 {
					_, _ = io.WriteString(conn, message[:1])
					_, _ = io.WriteString(conn, message[1:])
					if _, err := io.ReadFull(conn, buffer); err == nil {
						received.Add(1)
					}
					if i == 0 {
						warm.Done()
						time.Sleep(wait)
					}
				}
			})
		}
		warm.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), testLimit)
		is.NoErr(listener.Stop(ctx))
		cancel()
		clients.Wait()
		servers.Wait()
		is.Equal(read.Load(), answered.Load())
		is.Equal(answered.Load(), received.Load())
	}
}

// TestAConnectionThatNobodyAcceptedYetIsServed: the kernel resets what a closed listener holds.
func TestAConnectionThatNobodyAcceptedYetIsServed(t *testing.T) {
	is := is.New(t)
	listener, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	var conns []net.Conn
	for range testConns {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		defer conn.Close()
		_, err = io.WriteString(conn, message)
		is.NoErr(err)
		conns = append(conns, conn)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = listener.Stop(ctx) }()
	var read, answered atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go echo(conn.(*Conn), &read, &answered)
		}
	}()
	for _, conn := range conns {
		buffer := make([]byte, len(message))
		_, err := io.ReadFull(conn, buffer)
		is.NoErr(err)
	}
}

// TestAListenerThatLooksLateDropsNoConnection: on busy processors the wait for connections ended before the look for them.
func TestAListenerThatLooksLateDropsNoConnection(t *testing.T) {
	is := is.New(t)
	listener, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	looks := 0
	listener.now = func() time.Time {
		looks++
		if looks%2 == 1 {
			return time.Now().Add(-time.Second) // as before a second without a processor
		}
		return time.Now().Add(time.Second)
	}
	listener.stopping = true
	for range 2 {
		client, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		defer client.Close()
	}
	for range 2 {
		conn, err := listener.Accept()
		is.NoErr(err)
		defer conn.Close()
	}
	_, err = listener.Accept()
	is.Equal(err, net.ErrClosed)
}

// TestAnIdleConnectionIsKeptForTheNextRequest: a client sends its next request when it has its answer.
func TestAnIdleConnectionIsKeptForTheNextRequest(t *testing.T) {
	is := is.New(t)
	listener, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	client, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer client.Close()
	accepted, err := listener.Accept()
	is.NoErr(err)
	conn := accepted.(*Conn)
	defer conn.Close()
	now := time.Now()
	open := func() bool {
		_ = client.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		_, err := client.Read(make([]byte, 1))
		return err != io.EOF
	}
	ended := make(chan error, 1)
	read := func() {
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	}
	go read()
	for waiting := false; !waiting; {
		conn.mu.Lock()
		waiting = conn.waiting
		conn.mu.Unlock()
	}
	conn.SetIdle(now)
	conn.closeIdle(now.Add(idleWait - 1))
	is.True(open())
	conn.closeIdle(now.Add(idleWait))
	is.True(!open())
	is.Equal(<-ended, io.EOF)
}

// acceptBusy returns a client's connection and the server's end of it, on which a part of a request was read.
func acceptBusy(t *testing.T) (client net.Conn, conn *Conn) {
	t.Helper()
	is := is.New(t)
	listener, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	client, err = net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := listener.Accept()
	is.NoErr(err)
	_, err = io.WriteString(client, message)
	is.NoErr(err)
	_, err = accepted.Read(make([]byte, 1))
	is.NoErr(err)
	_ = client.SetDeadline(time.Now().Add(testLimit))
	return client, accepted.(*Conn)
}

// TestACloseThatMustResetDoes: the end of the response would look like a whole one.
func TestACloseThatMustResetDoes(t *testing.T) {
	for name, end := range map[string]func(*Conn){
		"close":               func(c *Conn) { _ = c.Close() },
		"close of one side":   func(c *Conn) { _ = c.CloseWrite(); _ = c.Close() },
		"close by the server": func(c *Conn) { _ = c.SetLinger(-1); _ = c.SetLinger(0); _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			client, conn := acceptBusy(t)
			is.NoErr(conn.SetLinger(0))
			end(conn)
			_, err := client.Read(make([]byte, 1))
			is.True(errors.Is(err, syscall.ECONNRESET))
		})
	}
}

// TestACloseEndsTheCallsInProgress: a handler would wait for a client whose connection was closed.
func TestACloseEndsTheCallsInProgress(t *testing.T) {
	is := is.New(t)
	client, conn := acceptBusy(t)
	_, err := io.ReadFull(conn, make([]byte, len(message)-1))
	is.NoErr(err)
	read, written := make(chan error, 1), make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		read <- err
	}()
	go func() {
		_, err := io.Copy(conn, endless{})
		written <- err
	}()
	time.Sleep(10 * time.Millisecond)
	began := time.Now()
	is.NoErr(conn.Close())
	is.True(<-read != nil)
	is.True(<-written != nil)
	is.True(time.Since(began) < dropIdleWait/2)
	_, err = conn.Read(make([]byte, 1))
	is.True(err != nil)
	_, err = io.Copy(io.Discard, client)
	is.NoErr(err)
}

// endless is read without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestAClientThatNeverClosesIsNotAwaitedForLong: a stop would last until its limit.
func TestAClientThatNeverClosesIsNotAwaitedForLong(t *testing.T) {
	is := is.New(t)
	_, conn := acceptBusy(t)
	is.True(conn.listener.Busy())
	is.NoErr(conn.Close())
	is.True(!conn.listener.Busy())
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	go func() { _, _ = conn.listener.Accept() }()
	is.NoErr(conn.listener.Stop(ctx))
	is.True(time.Since(began) < 4*dropIdleWait)
}

// TestBytesThatArrivedAreNotClosedAsIdle: the server had not read them yet.
func TestBytesThatArrivedAreNotClosedAsIdle(t *testing.T) {
	is := is.New(t)
	_, conn := acceptBusy(t)
	now := time.Now()
	conn.SetIdle(now)
	conn.mu.Lock()
	conn.waiting = true // as between the arrival and the end of the wait
	conn.mu.Unlock()
	conn.closeIdle(now.Add(idleWait))
	buffer := make([]byte, len(message)-1)
	_, err := io.ReadFull(conn, buffer)
	is.NoErr(err)
	is.Equal(string(buffer), message[1:])
}

// TestAConnectionThatCameAfterTheLastAcceptIsSeen: a listener that was closed late, on a busy host, reset it.
func TestAConnectionThatCameAfterTheLastAcceptIsSeen(t *testing.T) {
	is := is.New(t)
	listener, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	is.True(!listener.pending())
	client, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer client.Close()
	is.True(listener.pending())
	accepted, err := listener.Accept()
	is.NoErr(err)
	defer accepted.Close()
	is.True(!listener.pending())
}
