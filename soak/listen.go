package main

import (
	"net"
	"net/netip"
	"os"
	"syscall"

	"github.com/pkg/errors"
)

// listenShort listens with a queue of the given length for connections that are not accepted yet.
func listenShort(address string, backlog int) (*net.TCPListener, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "address of a replica")
	}
	// Processes that are started meanwhile must not inherit the socket.
	syscall.ForkLock.RLock()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err == nil {
		syscall.CloseOnExec(fd)
	}
	syscall.ForkLock.RUnlock()
	if err != nil {
		return nil, errors.Wrap(err, "socket of a replica")
	}
	file := os.NewFile(uintptr(fd), address)
	defer file.Close()
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, errors.Wrap(err, "socket of a replica")
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		return nil, errors.Wrap(err, "address of a replica")
	}
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, errors.Wrap(err, "listener of a replica")
	}
	if err := setBacklog(listener, backlog); err != nil {
		_ = listener.Close()
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// setBacklog sets the length of a listener's queue; net.FileListener sets the default one.
func setBacklog(listener net.Listener, backlog int) error {
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return errors.Wrap(err, "listener of a replica")
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), backlog) }); err != nil {
		return errors.Wrap(err, "listener of a replica")
	}
	return errors.Wrap(listenErr, "listener of a replica")
}
