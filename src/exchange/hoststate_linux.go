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
	sys, ok := raw.(syscall.Conn)
	if !ok {
		return 0
	}
	control, err := sys.SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := control.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil || infoErr != nil {
		return 0
	}
	if info.Unacked > 0 || info.Notsent_bytes > 0 || info.Probes == 0 {
		return 0
	}
	return time.Duration(info.Last_ack_recv) * time.Millisecond
}
