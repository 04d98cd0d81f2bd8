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

// sinceLastArrival returns how long ago the last data on a connection reached this host, 0 if that is not known.
func sinceLastArrival(raw net.Conn) time.Duration {
	info := tcpInfo(raw)
	if info == nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
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
