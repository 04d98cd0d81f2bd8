package quota

import (
	"maps"
	"slices"
	"time"
)

// Grants holds the units that were granted to a gateway and not spent. It is not safe for
// concurrent use.
type Grants struct {
	accounts  map[string][]grant
	exhausted map[string]exhaustion
}

// exhaustion says until when an account is known to be out of units, and how long its requests
// should wait.
type exhaustion struct {
	until time.Time
	wait  time.Duration
}

// grant is a number of units that may be spent until a time.
type grant struct {
	units float64
	until time.Time
}

// NewGrants returns an empty Grants.
func NewGrants() *Grants {
	return &Grants{accounts: map[string][]grant{}, exhausted: map[string]exhaustion{}}
}

// Put returns granted units that were not spent; they may be spent until the given time.
func (g *Grants) Put(now time.Time, account string, units float64, until time.Time) {
	if !now.Before(until) {
		return
	}
	g.accounts[account] = append(g.accounts[account], grant{units: units, until: until})
}

// Take takes units from one grant that is valid and large enough. It returns until when they may be
// spent.
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

// SetExhausted notes that an account is out of units until a time, and how long its requests should
// wait.
func (g *Grants) SetExhausted(account string, until time.Time, wait time.Duration) {
	g.exhausted[account] = exhaustion{until: until, wait: wait}
}

// ExhaustedWait returns how long the requests of an exhausted account should wait, 0 if it is not
// known to be exhausted.
func (g *Grants) ExhaustedWait(now time.Time, account string) time.Duration {
	last, found := g.exhausted[account]
	if !found {
		return 0
	}
	if !now.Before(last.until) {
		delete(g.exhausted, account)
		return 0
	}
	return last.wait
}

// Sweep removes what has expired.
func (g *Grants) Sweep(now time.Time) {
	for account, grants := range g.accounts {
		kept := slices.DeleteFunc(grants, func(one grant) bool { return !now.Before(one.until) })
		if len(kept) == 0 {
			delete(g.accounts, account)
		} else {
			g.accounts[account] = kept
		}
	}
	maps.DeleteFunc(g.exhausted, func(_ string, last exhaustion) bool { return !now.Before(last.until) })
}

// Accounts returns the number of accounts about which something is kept.
func (g *Grants) Accounts() int { return len(g.accounts) + len(g.exhausted) }
