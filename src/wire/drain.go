package wire

import "slices"

// ZoneDrains are the availability zones whose backend servers get nothing new, by the word of
// operators.
type ZoneDrains struct {
	// Revision grows with each order that changed something; 0 before the first one.
	Revision uint64 `json:"revision"`
	// Zones are the drained ones, sorted; the list must not be changed.
	Zones []string `json:"zones,omitempty"`
}

// Drained reports whether a zone's backend servers get nothing new.
func (d *ZoneDrains) Drained(zone string) bool {
	return d != nil && slices.Contains(d.Zones, zone)
}

// Newer returns the later of two states, either of which may be nil.
func (d *ZoneDrains) Newer(other *ZoneDrains) *ZoneDrains {
	if d == nil || other != nil && other.Revision > d.Revision {
		return other
	}
	return d
}

// ZoneTicketRequest asks the leader for what an order about a zone has to name.
type ZoneTicketRequest struct {
	Zone string `json:"zone"`
}

// ZoneTicket is what an order names, so that one that comes late changes nothing.
type ZoneTicket struct {
	// Known is set if the node asked leads.
	Known bool `json:"known"`
	// Term is the leader's, Revision that of the last order about the zone.
	Term     uint64 `json:"term"`
	Revision uint64 `json:"revision"`
	// IssuedMS is when the leader gave the ticket, on its own clock.
	IssuedMS int64 `json:"issuedMs"`
}

// ZoneOrder asks the leader to drain an availability zone, or to end that.
type ZoneOrder struct {
	Zone   string     `json:"zone"`
	Drain  bool       `json:"drain"`
	Ticket ZoneTicket `json:"ticket"`
}

// ZoneReply says what became of an order.
type ZoneReply struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason,omitempty"`
	// RetryMS is after how long the order may be sent again, 0 if at once.
	RetryMS int64 `json:"retryMs,omitempty"`
}

// ZoneDrainRequest is an operator's order about a zone, to any control node.
type ZoneDrainRequest struct {
	Zone  string `json:"zone"`
	Drain bool   `json:"drain"`
	// By says who asks.
	By string `json:"by"`
}
