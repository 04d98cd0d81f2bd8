package graceful

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
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
