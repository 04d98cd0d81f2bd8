package exchange

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unacknowledgedFor returns for how long the other host has acknowledged nothing although keep-alive probes ask it
// to, 0 if none does or if that is not known. The host's kernel acknowledges probes, whatever its processes do. Data
// under way tells nothing: a process that does not read keeps it waiting.
func unacknowledgedFor(raw net.Conn) time.Duration {
	info := tcpInfo(raw)
	if info == nil || info.Unacked > 0 || info.Notsent_bytes > 0 || info.Probes == 0 {
		return 0
	}
	return time.Duration(info.Last_ack_recv) * time.Millisecond
}

// closeWait is the state in which the kernel of Linux holds a connection that the other end alone has closed.
const closeWait = 8

// examineSocket returns the state of a connection.
func examineSocket(raw net.Conn) socketState {
	info := tcpInfo(raw)
	if info == nil {
		return socketState{}
	}
	return socketState{sinceArrival: time.Duration(info.Last_data_recv) * time.Millisecond, closed: info.State == closeWait}
}

// tcpInfo returns what the kernel tells of a connection, nil if it tells nothing.
func tcpInfo(raw net.Conn) *unix.TCPInfo {
	sys, ok := raw.(syscall.Conn)
	if !ok {
		return nil
	}
	control, err := sys.SyscallConn()
	if err != nil {
		return nil
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := control.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil || infoErr != nil {
		return nil
	}
	return info
}
