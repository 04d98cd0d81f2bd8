package main

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// lastArrival returns when the last bytes of a connection reached this host, the present if that is not known.
// They may have waited since for a process that was paused.
func lastArrival(conn net.Conn) time.Time {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return time.Now()
	}
	control, err := sys.SyscallConn()
	if err != nil {
		return time.Now()
	}
	var info *unix.TCPInfo
	var infoErr error
	err = control.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return time.Now()
	}
	return time.Now().Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
}
