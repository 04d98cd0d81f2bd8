package quota

import "time"

// Grants are the units that a gateway was granted and has not spent. It is not safe for
// concurrent use.
type Grants struct {
	accounts map[string][]grant
	empty    map[string]emptiness
}

// emptiness says until when an account is known to have nothing left, and when its
// requests should come back.
type emptiness struct {
	until time.Time
	wait  time.Duration
}

// grant is what may be spent until a time.
type grant struct {
	units float64
	until time.Time
}

// NewGrants returns no grants.
func NewGrants() *Grants {
	return &Grants{accounts: map[string][]grant{}, empty: map[string]emptiness{}}
}

// Put gives units back that were granted until a time and not spent.
func (g *Grants) Put(now time.Time, account string, units float64, until time.Time) {
	if !now.Before(until) {
		return
	}
	g.accounts[account] = append(g.accounts[account], grant{units: units, until: until})
}

// Take takes units out of one grant, if one that may still be spent has so many, and
// returns until when they may be spent.
func (g *Grants) Take(now time.Time, account string, units float64) (until time.Time, taken bool) {
	kept := g.accounts[account][:0]
	for _, one := range g.accounts[account] {
		if !now.Before(one.until) {
			continue
		}
		if !taken && one.units >= units {
			taken, until = true, one.until
			one.units -= units
		}
		if one.units > 0 {
			kept = append(kept, one)
		}
	}
	if len(kept) == 0 {
		delete(g.accounts, account)
	} else {
		g.accounts[account] = kept
	}
	return until, taken
}

// SetEmpty notes that an account has nothing left until a time, and how long its requests
// should wait.
func (g *Grants) SetEmpty(account string, until time.Time, wait time.Duration) {
	g.empty[account] = emptiness{until: until, wait: wait}
}

// Empty returns how long the requests of an account that has nothing left should wait, 0 if
// it is not known to have nothing.
func (g *Grants) Empty(now time.Time, account string) time.Duration {
	known, found := g.empty[account]
	if !found {
		return 0
	}
	if !now.Before(known.until) {
		delete(g.empty, account)
		return 0
	}
	return known.wait
}
