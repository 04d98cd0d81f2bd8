package quota

import (
	"time"
)

// Parameters of the allocation.
const (
	// leasableFraction is the part of a limit that is leased to holders. Limits are 1.8 times the
	// usual load, so holders use about 0.55 of a limit, and the leased part covers a third more
	// than the recent demand. The rest serves requests that do not fit a holder's share.
	leasableFraction = 0.75
	// demandTTL is how long a reported demand counts.
	demandTTL = 2 * time.Second
	// leaseMargin extends each lease at the allocator to allow for clock drift.
	leaseMargin = 100 * time.Millisecond
	// maxUnrecordedBurst is how much an account may use at once without a record, as time at its rate:
	// more than its clients send together as a rule, and little of the window.
	maxUnrecordedBurst = 200 * time.Millisecond
	// prepaidReserve is the part of a window that is not leased while an extension is in use, as time
	// at the account's rate.
	prepaidReserve = time.Second
	// firstReportTimeout is how long the first reports of holders are waited for: longer than the pause
	// between two reports, shorter than requests wait for an election.
	firstReportTimeout = 300 * time.Millisecond
	// accountIdleTimeout is how long an unused account is kept. Its bucket is full again long
	// before.
	accountIdleTimeout = time.Minute
)

// Share is a holder's part of an account's rate.
type Share struct {
	Account string
	// Rate is in units a second.
	Rate float64
	// Burst is the depth of the holder's bucket in units; it is not set in reports.
	Burst float64
	// Demand is the recently requested rate in units a second, UnitsPerRequest the mean size of
	// these requests in units.
	Demand          float64
	UnitsPerRequest float64
	// Overflow is the number of units that overflowed the holder's bucket unused.
	Overflow float64
}

// Report is a holder's request to renew its shares.
type Report struct {
	Holder string
	// Incarnation differs after each restart of the holder and Sequence grows with each report, so
	// that reports that arrive out of order can be ignored.
	Incarnation uint64
	Sequence    uint64
	// Shares lists every share that the holder may still use, with its demand.
	Shares []Share
}

// Allocator divides the limits of all accounts among the holders. It is not safe for concurrent
// use.
type Allocator struct {
	parameters Parameters
	startedAt  time.Time
	// unreported are the holders that may still hold shares of an earlier allocator.
	unreported map[string]bool
	// holders is the largest number of holders known.
	holders     int
	lastReports map[string]reportOrder
	accounts    map[string]*account
	// recordedExtensions are the extensions that earlier allocators may have used, by account;
	// known is the usage that one of them reported to this process.
	recordedExtensions map[string]float64
	known              PriorUsage
}

// reportOrder orders the reports of a holder.
type reportOrder struct {
	incarnation uint64
	sequence    uint64
}

// account is the state of one account's limit.
type account struct {
	limit Limit
	// unleased is the bucket of the rate that is not leased, with the account's burst as its depth.
	unleased bucket
	// refusedUnits counts recently refused units that may be requested again. It falls at the
	// account's rate, so that each refused request gets a later retry time than the one before.
	refusedUnits float64
	refusedAt    time.Time
	leases       map[string]lease
	// firstReported is the sum of the rates in the holders' first reports to this allocator.
	firstReported float64
	// leasedRate is the rate leased to holders, which counts as spent in full as time passes. spent
	// includes it up to leasedRateAt, and the units taken from the unleased bucket and the
	// extension.
	leasedRate   float64
	leasedRateAt time.Time
	spent        slidingWindow
	// assumed is the part of spent that an earlier allocator may have granted, but is not known to
	// have. It leaves the window at assumedUntil.
	assumed      float64
	assumedUntil time.Time
	extension    extension
	// used is when the account was last requested or reported.
	used time.Time
}

// lease is the rate that a holder may use until it expires.
type lease struct {
	rate    float64
	expires time.Time
	// demand is the demand that the holder reported at demandAt.
	demand   float64
	demandAt time.Time
}

// NewAllocator returns an allocator that starts now. Holders may still use shares leased by an
// earlier allocator, and extensions holds the units that accounts may have used beyond their rate.
// known is the usage last reported to this process.
func NewAllocator(parameters Parameters, now time.Time, holders []string, extensions map[string]float64, known PriorUsage) *Allocator {
	d := &Allocator{known: known, recordedExtensions: extensions, parameters: parameters, startedAt: now, holders: max(len(holders), 1), unreported: map[string]bool{}, lastReports: map[string]reportOrder{}, accounts: map[string]*account{}}
	for _, holder := range holders {
		d.unreported[holder] = true
	}
	return d
}

// leasesKnown reports whether every lease in use is known: all holders have reported, or the leases
// of earlier allocators have expired.
func (d *Allocator) leasesKnown(now time.Time) bool {
	return len(d.unreported) == 0 || !now.Before(d.startedAt.Add(d.parameters.Lease+leaseMargin))
}

// Report processes a holder's report and returns the shares that the holder may use for one lease
// duration from when it sent the report. limit returns an account's limit, false if it has none.
func (d *Allocator) Report(now time.Time, report Report, limit func(account string) (Limit, bool)) []Share {
	last, known := d.lastReports[report.Holder]
	if known && last.incarnation == report.Incarnation && report.Sequence <= last.sequence {
		return nil
	}
	d.lastReports[report.Holder] = reportOrder{incarnation: report.Incarnation, sequence: report.Sequence}
	d.holders = max(d.holders, len(d.lastReports))
	first := d.unreported[report.Holder]
	delete(d.unreported, report.Holder)
	d.endUnreported(now, report)
	var shares []Share
	for _, reported := range report.Shares {
		accountLimit, limited := limit(reported.Account)
		if !limited {
			continue
		}
		a := d.account(now, reported.Account, accountLimit)
		if first {
			a.firstReported += reported.Rate
		}
		maxSaved := d.parameters.maxSaved(accountLimit) / float64(d.holders)
		if maxSaved < reported.UnitsPerRequest {
			// No request of this size would fit the holder's bucket.
			reported.Demand = 0
		}
		d.updateUnleased(now, a)
		a.unleased.add(min(reported.Overflow, maxSaved))
		d.takeBack(now, a, report.Holder, reported.Overflow, maxSaved)
		shares = append(shares, Share{Account: reported.Account, Rate: d.renewLease(now, a, report.Holder, reported), Burst: maxSaved})
	}
	d.removeIdle(now)
	return shares
}

// takeBack removes from the window what a holder did not use since its last report. What the holder
// gives back with its first report to this allocator may have been counted before the allocator
// started, so no more than maxSaved of it is removed.
func (d *Allocator) takeBack(now time.Time, a *account, holder string, units, maxSaved float64) {
	since := d.startedAt
	if l, found := a.leases[holder]; found {
		// Units of a grant that was given back were counted up to its TTL before.
		since = l.demandAt.Add(-d.parameters.GrantTTL)
	} else {
		units = min(units, maxSaved)
	}
	a.spent.takeBack(now, since, units)
}

// endUnreported ends the leases that the holder no longer reports, since it no longer uses them.
func (d *Allocator) endUnreported(now time.Time, report Report) {
	reported := make(map[string]bool, len(report.Shares))
	for _, share := range report.Shares {
		reported[share.Account] = true
	}
	for name, a := range d.accounts {
		if _, found := a.leases[report.Holder]; found && !reported[name] {
			delete(a.leases, report.Holder)
			d.updateUnleased(now, a)
		}
	}
}

// renewLease returns the rate that a holder may use from now on.
func (d *Allocator) renewLease(now time.Time, a *account, holder string, reported Share) float64 {
	expires := now.Add(d.parameters.Lease + leaseMargin)
	a.leases[holder] = lease{rate: reported.Rate, expires: expires, demand: reported.Demand, demandAt: now}
	rate := d.fairRate(now, a, holder)
	if a.extension.inUse(now) {
		rate = min(rate, d.prepaidRate(now, a, holder))
	}
	available := leasableFraction*a.limit.Rate - d.leasedExcept(now, a, holder) - d.unreportedRate(now, a)
	rate = min(rate, max(available, 0))
	// The holder may use its old rate until it reports a lower one.
	a.leases[holder] = lease{rate: max(rate, reported.Rate), expires: expires, demand: reported.Demand, demandAt: now}
	d.updateUnleased(now, a)
	return rate
}

// prepaidRate returns the rate that the rest of the window pays for until the holder's lease expires.
// Leases can't be revoked early, so some of the window is left to requests that they do not cover.
func (d *Allocator) prepaidRate(now time.Time, a *account, holder string) float64 {
	if a.extension.isBlocked(now) {
		return 0
	}
	renewed := a.leases[holder]
	delete(a.leases, holder)
	remaining := a.remaining(now, &d.parameters, d.maxUnreportedUse(now, a))
	a.leases[holder] = renewed
	reserve := a.limit.Rate * prepaidReserve.Seconds()
	return max(remaining-reserve, 0) / (d.parameters.Lease + leaseMargin).Seconds()
}

// fairRate returns the holder's part of the leasable rate in proportion to its demand.
func (d *Allocator) fairRate(now time.Time, a *account, holder string) float64 {
	totalDemand := 0.0
	for _, l := range a.leases {
		if now.Sub(l.demandAt) < demandTTL {
			totalDemand += l.demand
		}
	}
	if totalDemand <= 0 {
		return 0
	}
	return leasableFraction * a.limit.Rate * a.leases[holder].demand / totalDemand
}

// leasedExcept returns the rate leased to all holders but one.
func (d *Allocator) leasedExcept(now time.Time, a *account, excluded string) float64 {
	sum := 0.0
	for holder, l := range a.leases {
		if holder != excluded && now.Before(l.expires) {
			sum += l.rate
		}
	}
	return sum
}

// account returns the state of an account and updates its limit.
func (d *Allocator) account(now time.Time, name string, limit Limit) *account {
	a := d.accounts[name]
	if a == nil {
		span := d.parameters.Window + d.parameters.GrantTTL
		a = &account{limit: limit, leases: map[string]lease{}, leasedRateAt: d.startedAt, spent: slidingWindow{span: span}}
		// The bucket starts empty but fills from the allocator's start.
		a.unleased = bucket{at: d.startedAt}
		a.extension = extension{used: slidingWindow{span: span}, recorded: d.recordedExtensions[name]}
		d.restoreUsage(a, name)
		d.updateUnleased(d.startedAt, a)
		d.accounts[name] = a
	}
	a.used = now
	if a.limit != limit {
		a.limit = limit
		d.updateUnleased(now, a)
	}
	return a
}

// unreportedRate returns the rate that holders may use whose leases of an earlier allocator are not
// known yet. All leases together never exceeded the leasable part, so it is what the first reports
// of the others leave of it.
func (d *Allocator) unreportedRate(now time.Time, a *account) float64 {
	if d.leasesKnown(now) {
		return 0
	}
	return max(leasableFraction*a.limit.Rate-a.firstReported, 0)
}

// updateUnleased sets the fill rate of the unleased bucket: what is not leased, and what no holder
// may use under a lease of an earlier allocator.
func (d *Allocator) updateUnleased(now time.Time, a *account) {
	leasedRate := d.leasedExcept(now, a, "") + d.unreportedRate(now, a)
	a.spent.add(now, a.leasedRate*max(now.Sub(a.leasedRateAt).Seconds(), 0))
	a.leasedRate, a.leasedRateAt = leasedRate, now
	a.unleased.set(now, max(a.limit.Rate-leasedRate, 0), a.unleasedDepth(now))
}

// unleasedDepth returns the depth of the unleased bucket. The next allocator has to assume that the
// bucket was emptied since it was last reported, so it is kept small as long as the rest of the burst
// can be granted as an extension, which is recorded.
func (a *account) unleasedDepth(now time.Time) float64 {
	if a.extension.isBlocked(now) {
		return a.limit.Burst
	}
	return min(a.limit.Burst, a.limit.Rate*maxUnrecordedBurst.Seconds())
}

// TakeResult is the result of Take.
type TakeResult struct {
	Taken bool
	// Uncertain is set if the units are not available only because holders have just not reported yet.
	Uncertain bool
	// Wait is the time until the units are available, behind the requests refused earlier.
	Wait time.Duration
	// Record is the extension that has to be recorded and passed to Recorded before more can be
	// taken; 0 if recording would not help.
	Record float64
}

// Take takes units that are not leased: from the account's bucket, or else from its extension.
func (d *Allocator) Take(now time.Time, name string, units float64, limit Limit) TakeResult {
	a := d.account(now, name, limit)
	d.updateUnleased(now, a)
	remaining := a.remaining(now, &d.parameters, d.maxUnreportedUse(now, a))
	if !a.extension.inUse(now) || a.extension.isBlocked(now) || units <= remaining {
		if taken, _ := a.unleased.borrow(now, units); taken {
			a.spent.add(now, units)
			return TakeResult{Taken: true}
		}
	}
	if units > remaining && d.awaitsReports(now, a) {
		return TakeResult{Uncertain: true}
	}
	if units > remaining || a.extension.isBlocked(now) {
		return TakeResult{Wait: a.noteRefusal(now, units, remaining)}
	}
	if record := a.extension.take(now, units, limit.Rate); record > 0 {
		return TakeResult{Record: record}
	}
	a.spent.add(now, units)
	return TakeResult{Taken: true}
}

// awaitsReports reports whether the first reports of holders are expected that may show that less of
// the account's limit is in use.
func (d *Allocator) awaitsReports(now time.Time, a *account) bool {
	return d.unreportedRate(now, a) > 0 && now.Before(d.startedAt.Add(firstReportTimeout))
}

// maxUnreportedUse returns how many units holders that have not reported yet may still use.
func (d *Allocator) maxUnreportedUse(now time.Time, a *account) float64 {
	return d.unreportedRate(now, a) * max(d.startedAt.Add(d.parameters.Lease+leaseMargin).Sub(now).Seconds(), 0)
}

// remaining returns the units left in the present window if holders use their leases in full and
// holders that have not reported use unreportedUse.
func (a *account) remaining(now time.Time, parameters *Parameters, unreportedUse float64) float64 {
	uncertain := unreportedUse
	if now.Before(a.assumedUntil) {
		uncertain += a.assumed
	}
	remaining := a.limit.Rate*parameters.Window.Seconds() + a.limit.Burst - a.spent.used(now) - unreportedUse
	remaining += min(uncertain, parameters.uncertainty(a.limit))
	for _, l := range a.leases {
		if timeLeft := l.expires.Sub(now); timeLeft > 0 {
			remaining -= l.rate * timeLeft.Seconds()
		}
	}
	return remaining
}

// noteRefusal records a refusal. It returns the time until all recently refused units are
// available: until the bucket holds them or, if the window is used up, until enough use has left
// it.
func (a *account) noteRefusal(now time.Time, units, left float64) time.Duration {
	elapsed := now.Sub(a.refusedAt).Seconds()
	a.refusedUnits = max(a.refusedUnits-elapsed*a.limit.Rate, 0) + units
	a.refusedAt = now
	if a.limit.Rate <= 0 {
		return never
	}
	saved := time.Duration((a.refusedUnits - a.unleased.level) / a.limit.Rate * float64(time.Second))
	if units <= left {
		return saved
	}
	return max(saved, a.spent.timeUntilFreed(now, a.refusedUnits-max(left, 0)))
}

// Recorded notes that an account's extension was recorded durably.
func (d *Allocator) Recorded(name string, units float64) {
	if a := d.accounts[name]; a != nil {
		a.extension.recorded = units
	}
}

// Ended returns the accounts whose recorded extension has left the window and may be recorded as 0.
func (d *Allocator) Ended(now time.Time) []string {
	var ended []string
	for name, a := range d.accounts {
		if a.extension.recorded > 0 && !a.extension.isBlocked(now) && !a.extension.inUse(now) {
			ended = append(ended, name)
		}
	}
	for name := range d.recordedExtensions {
		if d.accounts[name] == nil && !now.Before(d.startedAt.Add(d.parameters.Window+d.parameters.GrantTTL)) {
			ended = append(ended, name)
		}
	}
	return ended
}

// Reducible returns the accounts whose recorded extension is larger than needed: by far more than what
// is used of it in the present window, or at all although it has left the window.
func (d *Allocator) Reducible(now time.Time) []string {
	reducible := d.Ended(now)
	for name, a := range d.accounts {
		if a.extension.reducible(now, a.limit.Rate) {
			reducible = append(reducible, name)
		}
	}
	return reducible
}

// Reduce lowers an account's recorded extension to what it needs and returns that, to be recorded. No
// more is granted from then on without another record; changed is false if there is nothing to lower.
func (d *Allocator) Reduce(now time.Time, name string) (units float64, changed bool) {
	a := d.accounts[name]
	switch {
	case a == nil:
		return 0, d.recordedExtensions[name] > 0
	case a.extension.recorded > 0 && !a.extension.isBlocked(now) && !a.extension.inUse(now):
		a.extension.recorded = 0
		return 0, true
	case a.extension.reducible(now, a.limit.Rate):
		a.extension.recorded = a.extension.used.used(now) + a.limit.Rate*extensionStep.Seconds()
		return a.extension.recorded, true
	}
	return 0, false
}

// removeIdle removes the accounts that were not used recently.
func (d *Allocator) removeIdle(now time.Time) {
	for name, a := range d.accounts {
		if now.Sub(a.used) > accountIdleTimeout && a.extension.recorded == 0 {
			delete(d.accounts, name)
		}
	}
}
