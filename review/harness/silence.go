//go:build review

package main

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
)

// silence holds up a replica for a while, as a long pause of its process does.
type silence struct {
	mu   sync.Mutex
	over chan struct{}
}

func (s *silence) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = make(chan struct{})
}

func (s *silence) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.over)
	s.over = nil
}

// wait waits while the replica is silent.
func (s *silence) wait() {
	s.mu.Lock()
	over := s.over
	s.mu.Unlock()
	if over != nil {
		<-over
	}
}

// silentListener accepts no connections while its replica is silent.
type silentListener struct {
	net.Listener
	silence *silence
}

func (l silentListener) Accept() (net.Conn, error) {
	l.silence.wait()
	conn, err := l.Listener.Accept()
	l.silence.wait()
	return conn, err
}

// listenShort listens with a short queue of connections that are not accepted yet.
func listenShort(address string, backlog int) net.Listener {
	at := netip.MustParseAddrPort(address)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	check(err)
	check(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	check(syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}))
	check(syscall.Listen(fd, backlog))
	file := os.NewFile(uintptr(fd), address)
	defer file.Close()
	listener, err := net.FileListener(file)
	check(err)
	// Taking the socket over may have set the default length again.
	raw, err := listener.(*net.TCPListener).SyscallConn()
	check(err)
	check(raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), backlog) }))
	return listener
}
