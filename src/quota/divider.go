package quota

import (
	"time"
)

// The divider's weights.
const (
	// sharedPart of a limit is leased to holders. They use some 0.55 of a limit that is 1.8
	// times the usual, so that a share of the rest covers a third more than was asked lately;
	// the remainder evens out what the shares don't meet.
	sharedPart = 0.75
	// demandCounts is how long a holder's word on its demand counts.
	demandCounts = 2 * time.Second
	// leaseMargin is added to a lease where it is given, for clocks that run apart.
	leaseMargin = 100 * time.Millisecond
	// forgetAccount is after how long without a word an account is forgotten: what it has
	// saved is full again long before.
	forgetAccount = time.Minute
)

// Share is a holder's part of an account's rate.
type Share struct {
	Account string
	// Rate is in units a second.
	Rate float64
	// Saved is how many units the holder may save; a report leaves it out.
	Saved float64
	// Demand is what the holder was asked for lately, in units a second; Typical is what
	// one of these requests asked for on average.
	Demand  float64
	Typical float64
	// Spilled is what the holder could have used and did not, and can't any more.
	Spilled float64
}

// Report is what a holder says when it asks for its shares.
type Report struct {
	Holder string
	// Life tells a holder's restarts apart, Sequence its reports: an older one that was
	// under way for long says nothing any more.
	Life     uint64
	Sequence uint64
	// Shares are all that the holder may use now, and its demand.
	Shares []Share
}

// Divider divides the limits of all accounts among holders. It is not safe for concurrent
// use.
type Divider struct {
	terms Terms
	began time.Time
	// missing are the holders that may have shares of an earlier divider.
	missing map[string]bool
	// holders is how many there may be at most.
	holders  int
	seen     map[string]order
	accounts map[string]*account
	// before are the extensions that earlier dividers may have used, known is what one of
	// them told.
	before map[string]float64
	known  Known
}

// order is the place of a holder's last report.
type order struct {
	life     uint64
	sequence uint64
}

// account is the division of one account's limit.
type account struct {
	limit Limit
	// rest saves what no holder has of the rate, up to the burst.
	rest bucket
	// turned are the units that were refused lately and may be asked for again; they are
	// worked off at the account's rate, so that each refused request is told a later time.
	turned   float64
	turnedAt time.Time
	promises map[string]promise
	// shared is the rate that holders may use, which counts as spent as time passes, as of
	// sharedAt; spent is that and what was taken from the rest and the extension.
	shared    float64
	sharedAt  time.Time
	spent     history
	extension extension
	// used is when the account was last asked for or reported.
	used time.Time
}

// promise is what a holder may use until a time.
type promise struct {
	rate  float64
	until time.Time
	// demand is what it said of it at a time.
	demand   float64
	demandAt time.Time
}

// NewDivider returns a divider that begins now; the holders may have shares that an earlier
// one gave them, and accounts have used extensions of at most so many units. Known is what
// this process was told last by an earlier one.
func NewDivider(terms Terms, now time.Time, holders []string, extensions map[string]float64, known Known) *Divider {
	d := &Divider{known: known, before: extensions, terms: terms, began: now, holders: max(len(holders), 1), missing: map[string]bool{}, seen: map[string]order{}, accounts: map[string]*account{}}
	for _, holder := range holders {
		d.missing[holder] = true
	}
	return d
}

// settled reports whether all shares that anybody may use are known: every holder was
// heard, or those of an earlier divider have ended.
func (d *Divider) settled(now time.Time) bool {
	return len(d.missing) == 0 || !now.Before(d.began.Add(d.terms.Lease+leaseMargin))
}

// Report takes in what a holder says and returns the shares that it may use for a lease
// from when it sent the report; limit returns an account's limit, false if it has none.
func (d *Divider) Report(now time.Time, report Report, limit func(account string) (Limit, bool)) []Share {
	last, known := d.seen[report.Holder]
	if known && last.life == report.Life && report.Sequence <= last.sequence {
		return nil
	}
	d.seen[report.Holder] = order{life: report.Life, sequence: report.Sequence}
	d.holders = max(d.holders, len(d.seen))
	delete(d.missing, report.Holder)
	d.drop(now, report)
	var shares []Share
	for _, told := range report.Shares {
		allowed, limited := limit(told.Account)
		if !limited {
			continue
		}
		a := d.account(now, told.Account, allowed)
		saved := d.terms.saved(allowed) / float64(d.holders)
		if saved < told.Typical {
			// No request would ever fit into the holder's part.
			told.Demand = 0
		}
		a.rest.advance(now)
		a.rest.add(min(told.Spilled, saved))
		a.spent.add(now, -min(told.Spilled, saved))
		shares = append(shares, Share{Account: told.Account, Rate: d.lease(now, a, report.Holder, told), Saved: saved})
	}
	d.forget(now)
	return shares
}

// drop ends the promises to a holder that it does not tell of: it no longer uses them.
func (d *Divider) drop(now time.Time, report Report) {
	told := make(map[string]bool, len(report.Shares))
	for _, share := range report.Shares {
		told[share.Account] = true
	}
	for name, a := range d.accounts {
		if _, promised := a.promises[report.Holder]; promised && !told[name] {
			delete(a.promises, report.Holder)
			d.refill(now, a)
		}
	}
}

// lease returns the rate that a holder may use from now on.
func (d *Divider) lease(now time.Time, a *account, holder string, told Share) float64 {
	until := now.Add(d.terms.Lease + leaseMargin)
	a.promises[holder] = promise{rate: told.Rate, until: until, demand: told.Demand, demandAt: now}
	rate := d.fair(now, a, holder)
	if a.extension.open(now) {
		// Shares can't be taken back at once: all is left to the extension.
		rate = 0
	}
	room := sharedPart*a.limit.Rate - d.promised(now, a, holder)
	if !d.settled(now) {
		room = min(room, told.Rate)
	}
	rate = min(rate, max(room, 0))
	// Until the holder says that it uses less it may use what it has.
	a.promises[holder] = promise{rate: max(rate, told.Rate), until: until, demand: told.Demand, demandAt: now}
	d.refill(now, a)
	return rate
}

// fair returns the holder's part of the rate in proportion to what is asked of it.
func (d *Divider) fair(now time.Time, a *account, holder string) float64 {
	all := 0.0
	for _, p := range a.promises {
		if now.Sub(p.demandAt) < demandCounts {
			all += p.demand
		}
	}
	if all <= 0 {
		return 0
	}
	return sharedPart * a.limit.Rate * a.promises[holder].demand / all
}

// promised returns the sum of what the other holders may use.
func (d *Divider) promised(now time.Time, a *account, but string) float64 {
	sum := 0.0
	for holder, p := range a.promises {
		if holder != but && now.Before(p.until) {
			sum += p.rate
		}
	}
	return sum
}

// account returns the division of an account, with its present limit.
func (d *Divider) account(now time.Time, name string, limit Limit) *account {
	a := d.accounts[name]
	if a == nil {
		span := d.terms.Window + d.terms.Life
		a = &account{limit: limit, promises: map[string]promise{}, sharedAt: d.began, spent: history{span: span}}
		// Nothing is saved at the beginning, but time has passed since.
		a.rest = bucket{at: d.began}
		a.extension = extension{used: history{span: span}, recorded: d.before[name]}
		d.begin(a, name)
		d.refill(d.began, a)
		d.accounts[name] = a
	}
	a.used = now
	if a.limit != limit {
		a.limit = limit
		d.refill(now, a)
	}
	return a
}

// refill sets what the rest saves from now on. While shares of an earlier divider may be in
// use, the part of the limit that is for shares is left to them.
func (d *Divider) refill(now time.Time, a *account) {
	shared := d.promised(now, a, "")
	if !d.settled(now) {
		shared = max(shared, sharedPart*a.limit.Rate)
	}
	a.spent.add(now, a.shared*max(now.Sub(a.sharedAt).Seconds(), 0))
	a.shared, a.sharedAt = shared, now
	a.rest.set(now, max(a.limit.Rate-shared, 0), a.limit.Burst)
}

// Answer says what became of an ask.
type Answer struct {
	Taken bool
	// Wait is after how long there will be enough, behind those that were refused before.
	Wait time.Duration
	// Record is the account's extension that has to be recorded, with Recorded, before
	// more can be taken; 0 if that would not help.
	Record float64
}

// Take takes units from what no holder has: from what the account has saved, or from its
// extension.
func (d *Divider) Take(now time.Time, name string, units float64, limit Limit) Answer {
	a := d.account(now, name, limit)
	d.refill(now, a)
	left := a.left(now, &d.terms, d.unheard(now, limit))
	if !a.extension.open(now) || a.extension.isBarred(now) || units <= left {
		if taken, _ := a.rest.borrow(now, units); taken {
			a.spent.add(now, units)
			return Answer{Taken: true}
		}
	}
	if units > left || a.extension.isBarred(now) {
		return Answer{Wait: a.turn(now, units, left)}
	}
	if record := a.extension.take(now, units, limit.Rate); record > 0 {
		return Answer{Record: record}
	}
	a.spent.add(now, units)
	return Answer{Taken: true}
}

// unheard returns what holders may use of an account that were not heard yet.
func (d *Divider) unheard(now time.Time, limit Limit) float64 {
	if d.settled(now) {
		return 0
	}
	return sharedPart * limit.Rate * d.began.Add(d.terms.Lease+leaseMargin).Sub(now).Seconds()
}

// left returns what the account may still use in the present window, once holders have
// used what they may; unknown is what those may use that were not heard yet.
func (a *account) left(now time.Time, terms *Terms, unknown float64) float64 {
	left := a.limit.Rate*terms.Window.Seconds() + a.limit.Burst - a.spent.used(now) - unknown
	for _, p := range a.promises {
		if rest := p.until.Sub(now); rest > 0 {
			left -= p.rate * rest.Seconds()
		}
	}
	return left
}

// turn notes a refusal and returns how long the account needs for all refused lately: for
// them to be saved, or to leave the window if that is spent.
func (a *account) turn(now time.Time, units, left float64) time.Duration {
	passed := now.Sub(a.turnedAt).Seconds()
	a.turned = max(a.turned-passed*a.limit.Rate, 0) + units
	a.turnedAt = now
	if a.limit.Rate <= 0 {
		return never
	}
	saved := time.Duration((a.turned - a.rest.level) / a.limit.Rate * float64(time.Second))
	if units <= left {
		return saved
	}
	return max(saved, a.spent.untilLeft(now, a.turned-max(left, 0)))
}

// Recorded takes in that an account's extension is recorded durably.
func (d *Divider) Recorded(name string, units float64) {
	if a := d.accounts[name]; a != nil {
		a.extension.recorded = units
	}
}

// Ended returns the accounts whose recorded extension has left the window, and so may be
// recorded as 0.
func (d *Divider) Ended(now time.Time) []string {
	var ended []string
	for name, a := range d.accounts {
		if a.extension.recorded > 0 && !a.extension.isBarred(now) && !a.extension.open(now) {
			ended = append(ended, name)
		}
	}
	for name := range d.before {
		if d.accounts[name] == nil && !now.Before(d.began.Add(d.terms.Window+d.terms.Life)) {
			ended = append(ended, name)
		}
	}
	return ended
}

// forget drops the accounts that nobody has asked for lately.
func (d *Divider) forget(now time.Time) {
	for name, a := range d.accounts {
		if now.Sub(a.used) > forgetAccount && a.extension.recorded == 0 {
			delete(d.accounts, name)
		}
	}
}
