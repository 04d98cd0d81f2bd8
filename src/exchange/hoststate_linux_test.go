package exchange

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// dropArriving makes the kernel drop whatever arrives for a socket, which nothing acknowledges from then on.
func dropArriving(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	control, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	if err := control.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]})
	}); err != nil {
		t.Fatal(err)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// dialPair returns both ends of a connection.
func dialPair(t *testing.T) (here, there *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := Dial(context.Background(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

func TestAHostAcknowledgesWhileItsProcessIsSilent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	idle, _ := dialPair(t)
	asked, _ := dialPair(t)
	_, err := asked.Write([]byte("a request"))
	is.NoErr(err)
	for until := time.Now().Add(2 * silenceTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		is.True(unacknowledgedFor(idle) < suspectAfter)
		is.True(unacknowledgedFor(asked) < suspectAfter)
	}
}

func TestAHostThatAcknowledgesNothingIsNoticed(t *testing.T) {
	for _, c := range []struct {
		name string
		sent string
		// lost tells whether the kernel ends the connection once the probes are given up.
		lost bool
	}{{"while it is probed", "", true}, {"with a request under way", "a request", false}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			here, there := dialPair(t)
			dropArriving(t, there)
			_, err := here.Write([]byte(c.sent))
			is.NoErr(err)
			time.Sleep(suspectAfter + 100*time.Millisecond)
			is.True(unacknowledgedFor(here) >= suspectAfter)
			_ = here.SetReadDeadline(time.Now().Add(hostLossAfter))
			_, err = here.Read(make([]byte, 1))
			is.Equal(errors.Is(err, syscall.ETIMEDOUT), c.lost)
			if !c.lost {
				is.True(unacknowledgedFor(here) >= hostLossAfter)
			}
		})
	}
}
