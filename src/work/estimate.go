package work

import "time"

// Estimate is what a request is expected to take of a replica.
type Estimate struct {
	// Prefill is the time to read the part of the prompt that is not cached, Decode the time to
	// generate the expected output.
	Prefill time.Duration
	Decode  time.Duration
	// Memory is the room in tokens that the prompt and the expected output need.
	Memory int
}

// Total returns how long the request occupies a slot.
func (e Estimate) Total() time.Duration { return e.Prefill + e.Decode }

// At returns the estimate for a replica with a factor.
func (e Estimate) At(factor float64) Estimate {
	e.Prefill = Scale(e.Prefill, factor)
	e.Decode = Scale(e.Decode, factor)
	return e
}

// Scale multiplies a duration by a factor.
func Scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
