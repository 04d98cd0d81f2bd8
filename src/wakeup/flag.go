package wakeup

// Flag wakes one goroutine. It is safe for concurrent use.
type Flag struct {
	raised chan struct{}
}

// New returns a flag that is not raised.
func New() Flag { return Flag{raised: make(chan struct{}, 1)} }

// Raise raises the flag. It never blocks.
func (f Flag) Raise() {
	select {
	case f.raised <- struct{}{}:
	default:
	}
}

// Raised returns a channel that receives once the flag is raised. Receiving from it lowers the flag.
func (f Flag) Raised() <-chan struct{} { return f.raised }
