package quota

import (
	"sort"
	"time"
)

const (
	// usageCells is into how many parts a told history is cut.
	usageCells = 8
	// usageAccounts is how many accounts, the largest, a divider tells of: a few kilobytes
	// for each report.
	usageAccounts = 64
)

// Usage is what a divider tells holders of an account, so that the next one need not take
// the worst for granted.
type Usage struct {
	Account string
	// Used is what was used, in parts of the window and a grant's life, the newest first.
	Used []float64
	// Level is what the account has saved up, Extended what it used of its extension.
	Level    float64
	Extended float64
}

// Known is what a holder was told last. The zero value stands for nothing.
type Known struct {
	usage map[string]Usage
	// complete is set if accounts that were not told of had used nothing.
	complete bool
	// askedAt and toldAt are when the holder asked and had the answer.
	askedAt time.Time
	toldAt  time.Time
}

// NewKnown returns what a divider told, on an ask that was sent and answered at two times.
func NewKnown(askedAt, toldAt time.Time, usage []Usage, complete bool) Known {
	k := Known{usage: make(map[string]Usage, len(usage)), complete: complete, askedAt: askedAt, toldAt: toldAt}
	for _, u := range usage {
		k.usage[u.Account] = u
	}
	return k
}

// of returns the usage of an account, false if nothing is known of it.
func (k *Known) of(account string, limit Limit) (Usage, bool) {
	usage, found := k.usage[account]
	if !found && k.complete && !k.toldAt.IsZero() {
		return Usage{Account: account, Level: limit.Burst}, true
	}
	return usage, found
}

// Usage returns what the accounts have used, and whether that is all accounts.
func (d *Divider) Usage(now time.Time) (usage []Usage, complete bool) {
	for name, a := range d.accounts {
		d.refill(now, a)
		usage = append(usage, Usage{
			Account:  name,
			Used:     a.spent.parts(now, usageCells),
			Level:    max(a.rest.level, 0),
			Extended: a.extension.used.used(now),
		})
	}
	if len(usage) <= usageAccounts {
		return usage, true
	}
	sort.Slice(usage, func(i, j int) bool { return sum(usage[i].Used) > sum(usage[j].Used) })
	return usage[:usageAccounts], false
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// begin sets what a new divider has to count of an account: the worst that fits to what it
// was told. All that may have been used since then counts as used now.
func (d *Divider) begin(a *account, name string) {
	recorded := d.before[name]
	usage, known := d.known.of(name, a.limit)
	if !known {
		// What an earlier divider gave beyond the rate has to be saved up first.
		a.rest.level = -recorded
		a.extension.barred = d.began.Add(a.spent.span)
		return
	}
	part := a.spent.span / usageCells
	for i := len(usage.Used) - 1; i >= 0; i-- {
		a.spent.add(d.known.toldAt.Add(-time.Duration(i)*part), usage.Used[i])
	}
	since := d.began.Sub(d.known.askedAt).Seconds()
	// What holders gave back has been saved since, too.
	saved := usage.Level + d.terms.saved(a.limit)
	a.spent.add(d.began, max(since, 0)*a.limit.Rate+saved+max(recorded-usage.Extended, 0))
	a.extension.used.add(d.began, max(recorded, usage.Extended))
}
