package quota

import (
	"sort"
	"time"
)

const (
	// usageCells is the number of parts of the window in a usage report.
	usageCells = 8
	// maxUsageAccounts is how many accounts, those with the highest use, an allocator reports: a
	// few kilobytes for each reply.
	maxUsageAccounts = 64
)

// Usage is what an allocator tells holders of an account's use, so that the next allocator need not
// assume the worst.
type Usage struct {
	Account string
	// Used is the use in equal parts of the window plus one grant's TTL, the newest first.
	Used []float64
	// Level is the level of the account's bucket, ExtensionUsed how much of its extension was used.
	Level         float64
	ExtensionUsed float64
	// Blocked is how long it takes until the use by allocators before this one, which it does not know,
	// has left the window.
	Blocked time.Duration
}

// PriorUsage is the usage that an allocator last reported to a holder. The zero value means that
// nothing was reported.
type PriorUsage struct {
	usage map[string]Usage
	// complete is set if all accounts that were not reported had used nothing.
	complete bool
	// requestedAt and receivedAt are when the holder sent its request and received the reply.
	requestedAt time.Time
	receivedAt  time.Time
}

// NewPriorUsage returns the usage from a reply, with the times of the request and the reply.
func NewPriorUsage(requestedAt, receivedAt time.Time, usage []Usage, complete bool) PriorUsage {
	k := PriorUsage{usage: make(map[string]Usage, len(usage)), complete: complete, requestedAt: requestedAt, receivedAt: receivedAt}
	for _, u := range usage {
		k.usage[u.Account] = u
	}
	return k
}

// of returns the usage of an account, false if it is unknown.
func (k *PriorUsage) of(account string, limit Limit) (Usage, bool) {
	usage, found := k.usage[account]
	if !found && k.complete && !k.receivedAt.IsZero() {
		return Usage{Account: account, Level: limit.Burst}, true
	}
	return usage, found
}

// Usage returns the use of the accounts, and whether it covers all accounts.
func (d *Allocator) Usage(now time.Time) (usage []Usage, complete bool) {
	for name, a := range d.accounts {
		d.updateUnleased(now, a)
		usage = append(usage, Usage{
			Account:       name,
			Used:          a.spent.parts(now, usageCells),
			Level:         max(a.unleased.level, 0),
			ExtensionUsed: a.extension.used.used(now),
			Blocked:       max(a.extension.blockedUntil.Sub(now), 0),
		})
	}
	if len(usage) <= maxUsageAccounts {
		return usage, d.knowsAll(now)
	}
	sort.Slice(usage, func(i, j int) bool { return sum(usage[i].Used) > sum(usage[j].Used) })
	return usage[:maxUsageAccounts], false
}

// knowsAll reports whether accounts without a state here have used nothing in the present window,
// also under earlier allocators.
func (d *Allocator) knowsAll(now time.Time) bool {
	if !now.Before(d.startedAt.Add(d.parameters.Window + d.parameters.GrantTTL)) {
		return true
	}
	for name := range d.known.usage {
		if d.accounts[name] == nil {
			return false
		}
	}
	return d.known.complete
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// restoreUsage initializes an account from the usage that an earlier allocator reported, assuming
// the worst that is consistent with it. All that may have been used since counts as used now.
func (d *Allocator) restoreUsage(a *account, name string) {
	recorded := d.recordedExtensions[name]
	usage, known := d.known.of(name, a.limit)
	if !known {
		// The use beyond the rate that an earlier allocator granted has to be recovered first.
		a.unleased.level = -recorded
		a.extension.blockedUntil = d.startedAt.Add(a.spent.span)
		return
	}
	if usage.Blocked > 0 {
		a.unleased.level = -recorded
		a.extension.blockedUntil = d.known.receivedAt.Add(usage.Blocked)
	}
	part := a.spent.span / usageCells
	for i := len(usage.Used) - 1; i >= 0; i-- {
		a.spent.add(d.known.receivedAt.Add(-time.Duration(i)*part), usage.Used[i])
	}
	since := d.startedAt.Sub(d.known.requestedAt).Seconds()
	// Units that holders gave back may have refilled the bucket since, too.
	maxSaved := usage.Level + d.parameters.maxSaved(a.limit)
	a.assumed = max(since, 0)*a.limit.Rate + maxSaved + max(recorded-usage.ExtensionUsed, 0)
	a.assumedUntil = d.startedAt.Add(a.spent.span)
	a.spent.add(d.startedAt, a.assumed)
	a.extension.used.add(d.startedAt, max(recorded, usage.ExtensionUsed))
}
