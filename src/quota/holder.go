package quota

import "time"

// minDemand is the demand, in units a second, below which a holder requests no share.
const minDemand = 0.01

// Holder is the part of the limits that is leased to one control node. It is not safe for
// concurrent use.
type Holder struct {
	name        string
	incarnation uint64
	parameters  Parameters
	sequence    uint64
	shares      map[string]*heldShare
}

// heldShare is a holder's share of one account's limit.
type heldShare struct {
	// tokens holds the units that the holder may spend.
	tokens bucket
	// expires is when the lease ends.
	expires time.Time
	// reportedRate is the rate in the last report. The allocator counts it until the next one, also
	// if the share that was applied at appliedAt is lower.
	reportedRate float64
	appliedAt    time.Time
	// demand measures the requested units, requests the number of requests.
	demand   meter
	requests meter
}

// NewHolder returns a holder without shares; incarnation differs after each restart.
func NewHolder(name string, incarnation uint64, parameters Parameters) *Holder {
	return &Holder{name: name, incarnation: incarnation, parameters: parameters, shares: map[string]*heldShare{}}
}

// AddDemand counts requested units, whether they will be granted or not.
func (h *Holder) AddDemand(now time.Time, account string, units float64) {
	p := h.heldShare(account)
	p.demand.add(now, units)
	p.requests.add(now, 1)
}

// Take takes units from the holder's share if it has that many.
func (h *Holder) Take(now time.Time, account string, units float64) bool {
	p := h.shares[account]
	if p == nil || !now.Before(p.expires) {
		return false
	}
	taken, _ := p.tokens.take(now, units)
	return taken
}

// GiveBack takes back units that were granted less than a grant's TTL ago, by this holder or by the
// allocator for it, and will not be spent.
func (h *Holder) GiveBack(now time.Time, account string, units float64) {
	p := h.heldShare(account)
	p.tokens.advance(earlier(now, p.expires))
	p.tokens.add(units)
}

func (h *Holder) heldShare(account string) *heldShare {
	p := h.shares[account]
	if p == nil {
		p = &heldShare{}
		h.shares[account] = p
	}
	return p
}

// Report returns the report for the allocator. The holder drops accounts without a share and
// without demand.
func (h *Holder) Report(now time.Time) Report {
	h.sequence++
	report := Report{Holder: h.name, Incarnation: h.incarnation, Sequence: h.sequence}
	for account, p := range h.shares {
		// Units that overflowed the bucket are given back to the allocator, once.
		share := Share{Account: account, Demand: p.demand.rate(now)}
		if requests := p.requests.rate(now); requests > 0 {
			share.UnitsPerRequest = share.Demand / requests
		}
		p.tokens.advance(earlier(now, p.expires))
		share.Overflow = p.tokens.overflow + p.countedInExcess(now)
		p.tokens.overflow = 0
		if now.Before(p.expires) {
			share.Rate = p.tokens.rate
		}
		p.reportedRate = share.Rate
		if share.Rate == 0 && share.Demand < minDemand {
			delete(h.shares, account)
			continue
		}
		report.Shares = append(report.Shares, share)
	}
	return report
}

// countedInExcess returns the units that the allocator counted since the last report although the
// share was reduced.
func (p *heldShare) countedInExcess(now time.Time) float64 {
	reduction := p.reportedRate - p.tokens.rate
	if reduction <= 0 || !now.Before(p.expires) {
		return 0
	}
	return reduction * max(now.Sub(p.appliedAt).Seconds(), 0)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Apply installs the shares that the allocator returned for the report sent at sentAt. It must not
// be called once a later report was sent.
func (h *Holder) Apply(now, sentAt time.Time, shares []Share) {
	expires := sentAt.Add(h.parameters.Lease)
	for _, share := range shares {
		p := h.heldShare(share.Account)
		if !now.Before(p.expires) {
			// Units saved under an expired lease are lost.
			p.tokens = bucket{at: now}
		}
		p.tokens.set(now, share.Rate, share.Burst)
		p.expires, p.appliedAt = expires, now
	}
}

// DemandRates returns the demand of each account in units a second.
func (h *Holder) DemandRates(now time.Time) map[string]float64 {
	used := make(map[string]float64, len(h.shares))
	for account, p := range h.shares {
		used[account] = p.demand.rate(now)
	}
	return used
}
