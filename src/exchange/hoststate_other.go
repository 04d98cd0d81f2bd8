//go:build !linux

package exchange

import (
	"net"
	"time"
)

// unacknowledgedFor returns 0: only Linux tells for how long the other host has acknowledged nothing.
func unacknowledgedFor(net.Conn) time.Duration { return 0 }

// sinceLastArrival returns 0: only Linux tells when data arrived.
func sinceLastArrival(net.Conn) time.Duration { return 0 }
