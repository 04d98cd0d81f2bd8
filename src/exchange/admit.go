package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/moorspool/moorspool/src/admission"
	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/wire"
)

// Admission admits the requests of client accounts.
type Admission struct {
	// Admit asks for units of an account's limit.
	Admit func(ctx context.Context, account *catalog.Account, units float64) admission.Verdict
	// Return gives back units that were granted until a time and not spent.
	Return func(account string, units float64, until time.Time)
	// Trusted reports whether a configuration may decide over requests with a key.
	Trusted func(now time.Time, version uint64) bool
	// AwaitTrust waits until it may, as long as that is expected soon.
	AwaitTrust func(ctx context.Context, version uint64) bool
	// Now is the clock that grants and trust are measured by: it counts the time for which the
	// host was suspended.
	Now func() time.Time
}

// admitWithin bounds the wait for an admission, an election included.
const admitWithin = time.Second

// permit is what a request was granted and has not spent.
type permit struct {
	units float64
	until time.Time
}

// valid reports whether a send now is covered.
func (p *permit) valid(now time.Time) bool { return now.Before(p.until) }

// identify finds the client account of a request; without one it answers the client and
// reports false, but for anonymous routes.
func (c *call) identify(table *catalog.Table) bool {
	if !table.Keyed() {
		return true
	}
	c.account = table.AccountOf(c.facts.Key)
	if c.account != nil || c.route.Anonymous {
		return true
	}
	if !c.trusted(table) {
		c.refuseUnsure("the configuration was not known to be the newest for too long")
		return false
	}
	c.handler.options.Metrics.KeysRefused.Inc(1)
	c.handler.options.Ring.Add(event.Event{Kind: event.KeyRefused, Request: c.facts.ID, Reason: keyFault(c.facts.Key)})
	c.refuse(http.StatusUnauthorized, keyFault(c.facts.Key))
	return false
}

func keyFault(key catalog.Key) string {
	if key == "" {
		return "the request has no key"
	}
	return "no client account holds " + key.String()
}

// trusted reports whether the configuration may decide over requests with a key; one that
// was not confirmed lately is confirmed now.
func (c *call) trusted(table *catalog.Table) bool {
	h := c.handler
	if h.options.Admission.Trusted(h.options.Admission.Now(), table.Version()) {
		return true
	}
	ctx, cancel := context.WithTimeout(c.request.Context(), admitWithin)
	defer cancel()
	return h.options.Admission.AwaitTrust(ctx, table.Version())
}

// mayGoOn reports whether the request may be sent to a replica now: its key is still in
// force, which is known lately enough, and its account has what it asks for. Where not, it
// answers the client.
func (c *call) mayGoOn(ctx context.Context) bool {
	if c.account == nil {
		return true
	}
	table := c.handler.table.Load()
	account := table.AccountOf(c.facts.Key)
	if account == nil && !c.route.Anonymous {
		c.deny(http.StatusUnauthorized, "the key was taken away while the request waited")
		return false
	}
	if account == nil || account.Name != c.account.Name {
		c.permit = permit{}
	}
	if account == nil {
		c.account = nil
		return true
	}
	c.account = account
	if !c.paid(ctx) {
		return false
	}
	if !c.route.Anonymous && !c.trusted(table) {
		c.deny(http.StatusServiceUnavailable, "the configuration was not known to be the newest for too long")
		return false
	}
	return true
}

// paid reports whether the account has granted what a send takes.
func (c *call) paid(ctx context.Context) bool {
	if c.account.Limit.Rate <= 0 || c.permit.valid(c.handler.options.Admission.Now()) {
		return true
	}
	units := c.account.Cost(c.facts.PromptTokens + c.facts.OutputTokens)
	ctx, cancel := context.WithTimeout(ctx, admitWithin)
	defer cancel()
	verdict := c.handler.options.Admission.Admit(ctx, c.account, units)
	if verdict.Admission == wire.Granted {
		c.permit = permit{units: units, until: verdict.Until}
		if c.permit.valid(c.handler.options.Admission.Now()) {
			return true
		}
	}
	c.retryIn = verdict.RetryAfter
	if verdict.Admission == wire.Spent {
		c.handler.options.Metrics.QuotaSpent.Inc(1)
		c.handler.options.Ring.Add(event.Event{Kind: event.QuotaSpent, Request: c.facts.ID, Reason: c.account.Name + " asked for more than is left, comes back in " + verdict.RetryAfter.String()})
		c.deny(http.StatusTooManyRequests, "the client account has spent its limit")
		return false
	}
	c.deny(http.StatusServiceUnavailable, "nobody in reach can say what the client account has left")
	return false
}

// deny ends a request that must not be sent, with a status that promises that it has not
// run; one that may have run gets an answer that promises nothing.
func (c *call) deny(status int, reason string) {
	switch {
	case c.stream != nil && c.stream.begun:
		c.breakOff(reason)
	case c.ran > 0:
		c.refuse(c.unanswered(), reason)
	case status == http.StatusServiceUnavailable:
		c.refuseUnsure(reason)
	default:
		c.refuse(status, reason)
	}
}

// refuseUnsure refuses a request that the installation can't decide over at present.
func (c *call) refuseUnsure(reason string) {
	c.handler.options.Metrics.Unsure.Inc(1)
	c.handler.options.Ring.Add(event.Event{Kind: event.AdmissionUnsure, Request: c.facts.ID, Reason: reason})
	if c.retryIn == 0 {
		c.retryIn = retryAfterStart
	}
	c.refuse(http.StatusServiceUnavailable, reason)
}

// spend takes the permit for a send.
func (c *call) spend() permit {
	spent := c.permit
	c.permit = permit{}
	return spent
}

// giveBack returns what a request was granted and has not spent.
func (c *call) giveBack() {
	if c.account == nil || c.permit.until.IsZero() {
		return
	}
	c.handler.options.Admission.Return(c.account.Name, c.permit.units, c.permit.until)
	c.permit = permit{}
}

// priority is the account's if it has one, else the route's.
func (c *call) priority() int {
	if c.account != nil && c.account.Priority != nil {
		return *c.account.Priority
	}
	return c.route.Priority
}

// accountName is the client account's name, "" for requests without one.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}
