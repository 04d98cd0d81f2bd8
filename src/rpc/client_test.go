package rpc

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestADialEndsBeforeTheKernelTriesAgain: a host without power answers nothing, and
// the kernel repeats an opening packet after a second; a gateway that waits that long
// for a control node that has come back has no configuration meanwhile.
func TestADialEndsBeforeTheKernelTriesAgain(t *testing.T) {
	const firstRetransmission = time.Second
	is := is.New(t)
	is.True(dialTimeout+redialAfter < firstRetransmission/2)
}

// TestUrgentDialsFollowOneAnother: a process that reaches no peer dials again and
// again, so that it finds one within some round trips of its start.
func TestUrgentDialsFollowOneAnother(t *testing.T) {
	is := is.New(t)
	urgent := false
	c := NewClient("127.0.0.1:1", NewMux(), &Meter{}, nil, time.Second)
	c.SetUrgent(func() bool { return urgent })
	pause, timeout := c.pace()
	is.Equal(pause, redialAfter)
	is.Equal(timeout, dialTimeout)
	urgent = true
	pause, timeout = c.pace()
	is.True(pause+timeout <= (redialAfter+dialTimeout)/4)
}
