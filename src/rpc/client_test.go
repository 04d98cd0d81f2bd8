package rpc

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDialTimeoutIsBelowSynRetransmission: a powered-off host does not answer, and the kernel repeats a SYN
// after one second. A gateway that waits that long for a control node that is back has no configuration
// in the meantime.
func TestDialTimeoutIsBelowSynRetransmission(t *testing.T) {
	const synRetransmission = time.Second
	is := is.New(t)
	is.True(dialTimeout+redialDelay < synRetransmission/2)
}

// TestUrgentDialsAreFrequent: a process without any peer must redial quickly, so that it connects soon
// after a peer becomes reachable.
func TestUrgentDialsAreFrequent(t *testing.T) {
	is := is.New(t)
	urgent := false
	c := NewClient("127.0.0.1:1", NewMux(), &Meter{}, nil, time.Second)
	c.SetUrgent(func() bool { return urgent })
	delay, timeout := c.dialTiming()
	is.Equal(delay, redialDelay)
	is.Equal(timeout, dialTimeout)
	urgent = true
	delay, timeout = c.dialTiming()
	is.True(delay+timeout <= (redialDelay+dialTimeout)/4)
}
