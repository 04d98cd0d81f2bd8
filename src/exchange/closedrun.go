package exchange

import (
	"slices"
	"time"
)

// A replica that ended a run by closing its connection in order has not failed. Where no other one can be asked for
// what follows the last event, it is asked again: it is the same replica, and its prompt is kept there. Once at most, since
// one that frames no rest does not frame the next one either.

// noteClosedRun records that a replica ended its run by closing the connection in order.
func (c *call) noteClosedRun(peer *Peer) { c.closedRuns = append(c.closedRuns, peer) }

// mayAskAgain reports whether a replica that was tried may be asked for the rest of its own run.
func (c *call) mayAskAgain(peer *Peer) bool {
	if !slices.Contains(c.closedRuns, peer) {
		return false
	}
	asked := 0
	for _, tried := range c.tried {
		if tried == peer {
			asked++
		}
	}
	return asked == 1
}

// excluded returns the replicas that the request must not be sent to again.
func (c *call) excluded() []*Peer {
	if len(c.closedRuns) == 0 {
		return c.tried
	}
	return slices.DeleteFunc(slices.Clone(c.tried), c.mayAskAgain)
}

// pick chooses a replica that was not tried. If there is none, or it has no room, it may be one that closed its run.
func (c *call) pick(now time.Time, want Requirements) Choice {
	fleet := c.handler.options.Fleet
	choice := fleet.Pick(now, want, c.tried)
	if len(c.closedRuns) == 0 || choice.Verdict == Chosen && !c.needsPlace(&choice) {
		return choice
	}
	if again := fleet.Pick(now, want, c.excluded()); again.Verdict == Chosen {
		return again
	}
	return choice
}
