package exchange

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// silentDials returns a dial function whose first calls time out, as if SYN packets were lost, and
// a counter of the calls.
func silentDials(silent int) (dialFunc, *int) {
	count := 0
	return func(ctx context.Context, _ string) (net.Conn, error) {
		count++
		if count <= silent {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		here, _ := net.Pipe()
		return here, nil
	}, &count
}

func TestLostSYNIsRepeatedToTheOnlyReplica(t *testing.T) {
	is := is.New(t)
	dial, count := silentDials(1)
	only := &Choice{}
	c, err := newPool("x", dial).get(context.Background(), only.connectTimeout(), noon)
	is.NoErr(err)
	is.True(c != nil)
	is.Equal(*count, 2)
}

// TestADialThatTimedOutByItselfIsRepeated: the dialer gave up at its context's deadline before the context ended, which
// counted as final.
func TestADialThatTimedOutByItselfIsRepeated(t *testing.T) {
	is := is.New(t)
	dials := 0
	dial := func(ctx context.Context, _ string) (net.Conn, error) {
		dials++
		if dials == 1 {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		}
		here, _ := net.Pipe()
		return here, nil
	}
	only := &Choice{}
	_, err := newPool("x", dial).get(context.Background(), only.connectTimeout(), noon)
	is.NoErr(err)
	is.Equal(dials, 2)
}

func TestUnresponsiveReplicaIsGivenUpEarlyIfThereIsAnother(t *testing.T) {
	is := is.New(t)
	dial, count := silentDials(100)
	one := &Choice{Alternatives: 2}
	_, err := newPool("x", dial).get(context.Background(), one.connectTimeout(), noon)
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.Equal(*count, 1)
}

func TestARefusedDialIsNotRepeated(t *testing.T) {
	is := is.New(t)
	refused := errors.New("connection refused")
	count := 0
	dial := func(context.Context, string) (net.Conn, error) { count++; return nil, refused }
	only := &Choice{}
	_, err := newPool("x", dial).get(context.Background(), only.connectTimeout(), noon)
	is.True(errors.Is(err, refused))
	is.Equal(count, 1)
}

// dialedOptions returns a function that reads the socket options of a connection opened by Dial.
func dialedOptions(t *testing.T) func(level, name int) int {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	conn, err := Dial(context.Background(), listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	raw, err := conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	return func(level, name int) (value int) {
		is.NoErr(raw.Control(func(fd uintptr) { value, err = syscall.GetsockoptInt(int(fd), level, name) }))
		is.NoErr(err)
		return value
	}
}

// TestReceiveBufferOfAConnectionIsBounded: responses that wait for slow clients took up to 13 MB each in the
// kernel, beside what the gateway counts as buffered.
func TestReceiveBufferOfAConnectionIsBounded(t *testing.T) {
	is := is.New(t)
	option := dialedOptions(t)
	const locked = 2 // the kernel doubles what is set, and lets it grow no more
	is.Equal(option(syscall.SOL_SOCKET, syscall.SO_RCVBUF), locked*receiveBufferBytes)
}

func TestASilentHostEndsAConnectionWithinThreeSeconds(t *testing.T) {
	is := is.New(t)
	option := dialedOptions(t)
	const tcpUserTimeout = 18
	is.Equal(option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE), 1)
	is.Equal(option(syscall.IPPROTO_TCP, tcpUserTimeout), 0) // else it decides instead of the probes
	silent := option(syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE) + option(syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL)*option(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT)
	is.Equal(silent, 3)
	is.True(option(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT) > 1) // one lost probe ends nothing
}
