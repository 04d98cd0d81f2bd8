package quota

import "time"

// leastDemand is the demand below which a holder asks for no share, in units a second.
const leastDemand = 0.01

// Holder is a control node's part of the limits. It is not safe for concurrent use.
type Holder struct {
	name     string
	life     uint64
	terms    Terms
	sequence uint64
	parts    map[string]*part
}

// part is what a holder has of one account's limit.
type part struct {
	saved bucket
	// until is when the share ends.
	until time.Time
	// demand are the units that are asked for, asks the requests that ask for them.
	demand meter
	asks   meter
}

// NewHolder returns a holder without shares; life is another one after each restart.
func NewHolder(name string, life uint64, terms Terms) *Holder {
	return &Holder{name: name, life: life, terms: terms, parts: map[string]*part{}}
}

// Ask counts what is asked for, whether it will be granted or not.
func (h *Holder) Ask(now time.Time, account string, units float64) {
	p := h.part(account)
	p.demand.add(now, units)
	p.asks.add(now, 1)
}

// Take takes units from the holder's share, if it has so many.
func (h *Holder) Take(now time.Time, account string, units float64) bool {
	p := h.parts[account]
	if p == nil || !now.Before(p.until) {
		return false
	}
	taken, _ := p.saved.take(now, units)
	return taken
}

func (h *Holder) part(account string) *part {
	p := h.parts[account]
	if p == nil {
		p = &part{}
		h.parts[account] = p
	}
	return p
}

// Report returns what the divider has to know; the holder forgets what it neither has nor
// was asked for.
func (h *Holder) Report(now time.Time) Report {
	h.sequence++
	report := Report{Holder: h.name, Life: h.life, Sequence: h.sequence}
	for account, p := range h.parts {
		// What did not fit goes back to the divider, once.
		share := Share{Account: account, Demand: p.demand.rate(now)}
		if asks := p.asks.rate(now); asks > 0 {
			share.Typical = share.Demand / asks
		}
		p.saved.advance(sooner(now, p.until))
		share.Spilled = min(p.saved.spilled, p.saved.depth)
		p.saved.spilled = 0
		if now.Before(p.until) {
			share.Rate = p.saved.rate
		}
		if share.Rate == 0 && share.Demand < leastDemand {
			delete(h.parts, account)
			continue
		}
		report.Shares = append(report.Shares, share)
	}
	return report
}

func sooner(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Apply takes in the shares that the divider gave for a report sent at a time. It must not
// be called once a later report was sent.
func (h *Holder) Apply(now, sentAt time.Time, shares []Share) {
	until := sentAt.Add(h.terms.Lease)
	for _, share := range shares {
		p := h.part(share.Account)
		if !now.Before(p.until) {
			// What an ended share had saved is gone with it.
			p.saved = bucket{at: now}
		}
		p.saved.set(now, share.Rate, share.Saved)
		p.until = until
	}
}

// Used returns what is asked for of each account, in units a second.
func (h *Holder) Used(now time.Time) map[string]float64 {
	used := make(map[string]float64, len(h.parts))
	for account, p := range h.parts {
		used[account] = p.demand.rate(now)
	}
	return used
}
