package route

// Mode is how hosts are chosen. All modes but ByCost are baselines for measurements: they consider
// neither the gateway's own requests nor limits.
type Mode string

// Hosts are chosen by the expected wait, in turn, or by the last reported load.
const (
	ByCost        Mode = "cost"
	RoundRobin    Mode = "round-robin"
	LeastReported Mode = "least-reported"
)

// Modes lists all modes, for the settings.
var Modes = []Mode{ByCost, RoundRobin, LeastReported}

// pickBaseline chooses a host by round-robin or by the last reported load.
func (c *candidates) pickBaseline(mode Mode, turn uint64, now int64, tried *Tried) (*Host, Verdict) {
	var best *Host
	n := c.len()
	for i := 0; i < n; i++ {
		h := c.at((i + int(turn%uint64(n))) % n)
		if !h.usable(now) || (tried != nil && tried.Has(h)) {
			continue
		}
		if mode == RoundRobin {
			return h, Chosen
		}
		if best == nil || h.reported.Load() < best.reported.Load() {
			best = h
		}
	}
	if best == nil {
		return nil, Unreachable
	}
	return best, Chosen
}
