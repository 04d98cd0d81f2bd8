package exchange

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// hostLossTime is longer than the keep-alive probes of a connection take to be given up.
const hostLossTime = 5 * time.Second

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
func dialPair(t testing.TB) (here, there *net.TCPConn) {
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
	t.Parallel()
	is := is.New(t)
	here, there := dialPair(t)
	dropArriving(t, there)
	time.Sleep(suspectAfter + 100*time.Millisecond)
	is.True(unacknowledgedFor(here) >= suspectAfter)
	_ = here.SetReadDeadline(time.Now().Add(hostLossTime))
	_, err := here.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ETIMEDOUT)) // the probes end the connection
}

// TestAHostWhoseProcessDoesNotReadIsNotSuspected: what waits for a process that does not read looked as if its host
// acknowledged nothing.
func TestAHostWhoseProcessDoesNotReadIsNotSuspected(t *testing.T) {
	for _, buffer := range []int{4 << 10, 64 << 10, 1 << 20} {
		t.Run(fmt.Sprint(buffer), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			here, there := dialPair(t)
			is.NoErr(there.SetReadBuffer(buffer))
			go func() { _, _ = here.Write(make([]byte, 8<<20)) }()
			for until := time.Now().Add(8 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
				if silent := unacknowledgedFor(here); silent >= suspectAfter {
					t.Fatalf("its host seems silent for %s", silent)
				}
			}
		})
	}
}
