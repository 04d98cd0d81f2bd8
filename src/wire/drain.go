package wire

import "slices"

// ZoneDrains lists the availability zones that operators have drained. Their backend servers get no new
// work.
type ZoneDrains struct {
	// Revision increases with each order that changes something. It is 0 before the first one.
	Revision uint64 `json:"revision"`
	// Zones lists the drained zones, sorted. It must not be modified.
	Zones []string `json:"zones,omitempty"`
}

// Drained reports whether a zone is drained.
func (d *ZoneDrains) Drained(zone string) bool {
	return d != nil && slices.Contains(d.Zones, zone)
}

// Newer returns the state with the higher revision. Either may be nil.
func (d *ZoneDrains) Newer(other *ZoneDrains) *ZoneDrains {
	if d == nil || other != nil && other.Revision > d.Revision {
		return other
	}
	return d
}

// ZoneTicketRequest asks the leader for the ticket that an order for a zone must include.
type ZoneTicketRequest struct {
	Zone string `json:"zone"`
}

// ZoneTicket is included in an order, so that a delayed order has no effect.
type ZoneTicket struct {
	// Known is set if the responding node is the leader.
	Known bool `json:"known"`
	// Term is the leader's term, and Revision that of the last order for the zone.
	Term     uint64 `json:"term"`
	Revision uint64 `json:"revision"`
	// IssuedMS is when the leader issued the ticket, by its own clock.
	IssuedMS int64 `json:"issuedMs"`
}

// ZoneOrder asks the leader to start or stop draining an availability zone.
type ZoneOrder struct {
	Zone   string     `json:"zone"`
	Drain  bool       `json:"drain"`
	Ticket ZoneTicket `json:"ticket"`
}

// ZoneReply is the reply to a ZoneOrder.
type ZoneReply struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason,omitempty"`
	// RetryMS is the delay before the order may be sent again, or 0 for none.
	RetryMS int64 `json:"retryMs,omitempty"`
}

// ZoneDrainRequest is an operator's order for a zone. It can be sent to any control node.
type ZoneDrainRequest struct {
	Zone  string `json:"zone"`
	Drain bool   `json:"drain"`
	// By identifies the operator.
	By string `json:"by"`
}
