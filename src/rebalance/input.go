package rebalance

import "time"

// Model describes a model to a plan.
type Model struct {
	Name string
	// Footprint is the memory that a copy takes, in megabytes.
	Footprint float64
	// Work is the expected work of all requests for the model, as a fraction of one server.
	Work float64
	// NoCopyFor is how long the model has had no copy.
	NoCopyFor time.Duration
	// RequestsWaited is set if requests for the model recently found no copy.
	RequestsWaited bool
	// IdleFor is how long no request has asked for the model; 0 if that is not known.
	IdleFor time.Duration
	// ZoneShares is the part of the model's work that is asked for in each availability zone. It is
	// nil if that is not known; all zones count alike then.
	ZoneShares map[string]float64
}

// Phase is the stage of a copy.
type Phase uint8

// The phases.
const (
	// Ready copies serve requests.
	Ready Phase = iota
	// Pending copies are being loaded, or room is being made for them.
	Pending
	// Unloading copies are being unloaded, or will be.
	Unloading
)

// Copy is a copy of a model on a server.
type Copy struct {
	Model string
	Phase Phase
}

// Server is a server that can hold copies.
type Server struct {
	ID   string
	Zone string
	// Usable servers serve requests. Copies on other servers are ignored.
	Usable bool
	// Open servers can start a move now.
	Open bool
	// Speed is the speed of the server relative to the mean one; 0 counts as 1.
	Speed float64
	// Free is the free memory, in megabytes.
	Free   float64
	Copies []Copy
	// LoadTime returns how long the server takes to load a model, and whether it loads it from the
	// weight store.
	LoadTime func(model string) (time.Duration, bool)
}

// speed returns the server's speed relative to the mean server.
func (s *Server) speed() float64 {
	if s.Speed <= 0 {
		return 1
	}
	return s.Speed
}

// Input is everything that a plan depends on.
type Input struct {
	Models  []Model
	Servers []Server
	// MaxStoreLoads is the number of loads from the weight store that the plan may contain.
	MaxStoreLoads int
}

// Move is a planned load, with the copies on the same server that are unloaded to make room for it.
type Move struct {
	// Server is the index in Input.Servers.
	Server int
	Model  string
	Drop   []string
	Reason string
}

// Output is a plan.
type Output struct {
	Moves []Move
	// Unplaced are the models without a copy for which no server can make room now.
	Unplaced []string
}
