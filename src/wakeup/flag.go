package wakeup

// Flag wakes one goroutine; it is safe for concurrent use.
type Flag struct {
	raised chan struct{}
}

// New returns a flag that is not raised.
func New() Flag { return Flag{raised: make(chan struct{}, 1)} }

// Raise raises the flag; it never blocks.
func (f Flag) Raise() {
	select {
	case f.raised <- struct{}{}:
	default:
	}
}

// Raised delivers once the flag is raised, and lowers it.
func (f Flag) Raised() <-chan struct{} { return f.raised }
