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
	// Admit requests units of an account's limit.
	Admit func(ctx context.Context, account *catalog.Account, units float64) admission.Verdict
	// Return gives back units that were granted until a time and not used.
	Return func(account string, units float64, until time.Time)
	// Confirmed reports whether a configuration is confirmed recently enough to decide on requests
	// with a key.
	Confirmed func(now time.Time, version uint64) bool
	// AwaitConfirmation waits until the configuration is confirmed, as long as that is expected
	// soon.
	AwaitConfirmation func(ctx context.Context, version uint64) bool
	// Now is the clock of grants and confirmations. It counts while the host is suspended.
	Now func() time.Time
}

// admissionTimeout limits the wait for an admission. It is long enough for an election.
const admissionTimeout = time.Second

// grant is the part of the account's limit that was granted to a request and is not used yet.
type grant struct {
	account string
	units   float64
	until   time.Time
}

// valid reports whether the grant covers a send now.
func (p *grant) valid(now time.Time) bool { return now.Before(p.until) }

// identify determines the client account of a request. If there is none and the route is not
// anonymous, it responds to the client and returns false.
func (c *call) identify(table *catalog.Table) bool {
	if !table.KeysRequired() {
		c.account = nil
		return true
	}
	c.account = table.AccountOf(c.requestInfo.Key)
	if c.account != nil || c.route.Anonymous {
		return true
	}
	if !c.configTrusted(table) || !c.configConfirmed() {
		c.refuseUndecided("the configuration was not known to be the newest for too long")
		return false
	}
	c.handler.options.Metrics.KeysRefused.Inc(1)
	c.handler.options.Ring.Add(event.Event{Kind: event.KeyRefused, Request: c.requestInfo.ID, Reason: describeKeyError(c.requestInfo.Key)})
	c.refuse(http.StatusUnauthorized, describeKeyError(c.requestInfo.Key))
	return false
}

func describeKeyError(key catalog.Key) string {
	if key == "" {
		return "the request has no key"
	}
	return "no client account holds " + key.String()
}

// configTrusted reports whether the configuration may decide on requests with a key. A
// configuration that was not confirmed recently is confirmed now.
func (c *call) configTrusted(table *catalog.Table) bool {
	h := c.handler
	if h.options.Admission.Confirmed(h.options.Admission.Now(), table.Version()) {
		return true
	}
	ctx, cancel := context.WithTimeout(c.request.Context(), admissionTimeout)
	defer cancel()
	return h.options.Admission.AwaitConfirmation(ctx, table.Version())
}

// reauthorize reports whether the request may be sent to a replica now: its key is still valid, the
// configuration is confirmed recently enough, and the account has the units that the request needs.
// If not, it responds to the client.
func (c *call) reauthorize(ctx context.Context) bool {
	if c.account == nil {
		return true
	}
	table := c.handler.table.Load()
	account := table.AccountOf(c.requestInfo.Key)
	if account == nil && !c.route.Anonymous {
		c.deny(http.StatusUnauthorized, "the key was taken away while the request waited")
		return false
	}
	if account == nil || account.Name != c.grant.account {
		c.returnGrant()
	}
	if account == nil {
		c.account = nil
		return true
	}
	c.account = account
	if !c.ensureGrant(ctx) {
		return false
	}
	if !c.route.Anonymous && !c.configTrusted(table) {
		c.deny(http.StatusServiceUnavailable, "the configuration was not known to be the newest for too long")
		return false
	}
	return true
}

// ensureGrant reports whether the account has granted the units for a send, and requests them if
// necessary.
func (c *call) ensureGrant(ctx context.Context) bool {
	if c.account.Limit.Rate <= 0 || c.grant.valid(c.handler.options.Admission.Now()) {
		return true
	}
	units := c.account.Cost(c.requestInfo.PromptTokens + c.requestInfo.OutputTokens)
	ctx, cancel := context.WithTimeout(ctx, admissionTimeout)
	defer cancel()
	verdict := c.handler.options.Admission.Admit(ctx, c.account, units)
	if verdict.Admission == wire.AdmissionGranted {
		c.grant = grant{account: c.account.Name, units: units, until: verdict.Until}
		if c.grant.valid(c.handler.options.Admission.Now()) {
			return true
		}
	}
	c.retryIn = verdict.RetryAfter
	if verdict.Admission == wire.QuotaExhausted {
		c.handler.options.Metrics.QuotaExceeded.Inc(1)
		c.handler.options.Ring.Add(event.Event{Kind: event.QuotaExceeded, Request: c.requestInfo.ID, Reason: c.account.Name + " asked for more than is left, comes back in " + verdict.RetryAfter.String()})
		c.deny(http.StatusTooManyRequests, "the client account has spent its limit")
		return false
	}
	c.deny(http.StatusServiceUnavailable, "nobody in reach can say what the client account has left")
	return false
}

// deny ends a request that must not be sent. The status tells the client that the request has not
// run, unless an earlier attempt may have run it. While another attempt is under way, that one may still answer.
func (c *call) deny(status int, reason string) {
	switch {
	case c.beside:
		c.denied = true
		c.reason += "; " + reason
	case c.stream != nil && c.stream.started:
		c.early = earlyEnd{cause: causeRefusal, evidence: reason}
		c.abortResponse(reason)
	case c.possibleRuns > 0:
		c.early = earlyEnd{cause: causeRefusal, evidence: reason}
		c.refuse(c.unknownOutcomeStatus(), reason)
	case status == http.StatusServiceUnavailable:
		c.refuseUndecided(reason)
	default:
		c.refuse(status, reason)
	}
}

// refuseUndecided refuses a request that cannot be decided on at present.
func (c *call) refuseUndecided(reason string) {
	c.handler.options.Metrics.Undecided.Inc(1)
	c.handler.options.Ring.Add(event.Event{Kind: event.AdmissionUncertain, Request: c.requestInfo.ID, Reason: reason})
	if c.retryIn == 0 {
		c.retryIn = retryAfterStart
	}
	c.refuse(http.StatusServiceUnavailable, reason)
}

// takeGrant takes the grant for a send.
func (c *call) takeGrant() grant {
	spent := c.grant
	c.grant = grant{}
	return spent
}

// returnGrant gives back the unused grant.
func (c *call) returnGrant() {
	if c.grant.until.IsZero() {
		return
	}
	c.handler.options.Admission.Return(c.grant.account, c.grant.units, c.grant.until)
	c.grant = grant{}
}

// restoreGrant takes back the grant of an attempt that did not run. The call keeps one at most.
func (c *call) restoreGrant(spent grant) {
	c.returnGrant()
	c.grant = spent
}

// priority returns the priority of the account, or that of the route if the account has none.
func (c *call) priority() int {
	if c.account != nil && c.account.Priority != nil {
		return *c.account.Priority
	}
	return c.route.Priority
}

// accountName returns the name of the client account, "" for requests without one.
func (c *call) accountName() string {
	if c.account == nil {
		return ""
	}
	return c.account.Name
}
