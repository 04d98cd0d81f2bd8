package rebalance

import "time"

// Model is what a plan knows of one model.
type Model struct {
	Name string
	// Footprint is the room that a copy takes, in megabytes.
	Footprint float64
	// Work is the expected work of all its requests, in parts of one server.
	Work float64
	// LostFor is for how long it has had no copy.
	LostFor time.Duration
	// Waited is set if requests for it lately found no copy.
	Waited bool
	// IdleFor is for how long no request has asked for it, 0 if that is not known.
	IdleFor time.Duration
}

// Phase is where a copy stands.
type Phase uint8

// The phases.
const (
	// Ready copies serve.
	Ready Phase = iota
	// Coming copies are being loaded, or have room made for them.
	Coming
	// Going copies are being unloaded or were told to go.
	Going
)

// Copy is one model on one server.
type Copy struct {
	Model string
	Phase Phase
}

// Server is one place for copies.
type Server struct {
	ID   string
	Zone string
	// Usable servers serve; copies on others count for nothing.
	Usable bool
	// Open servers can begin a move now.
	Open bool
	// Free is the room that nothing takes, in megabytes.
	Free   float64
	Copies []Copy
	// LoadTime returns how long a model's load takes there, and whether it needs the weight store.
	LoadTime func(model string) (time.Duration, bool)
}

// Input is all that a plan depends on.
type Input struct {
	Models  []Model
	Servers []Server
	// StoreLoads is how many loads from the weight store may be decided now.
	StoreLoads int
}

// Move is a decided load, with the copies on the same server that make way for it.
type Move struct {
	// Server is the place in Input.Servers.
	Server int
	Model  string
	Drop   []string
	Reason string
}

// Output is a plan.
type Output struct {
	Moves []Move
	// Unplaced are models without a copy for which no server can make room now.
	Unplaced []string
}
