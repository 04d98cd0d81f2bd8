package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The client accounts of a run, their keys and limits. The key of "turning" belongs to one
// version of the configuration and is taken away with the next.
const (
	keyHeader     = "Api-Key"
	accountHeader = "X-Tenant"
	// turningHeader tells the replica which version's key the request carries, sentHeader
	// when it was sent, in nanoseconds.
	turningHeader = "Soak-Key-Version"
	sentHeader    = "Soak-Sent"

	mainAccount, mainKey       = "main", "key-of-main"
	limitedAccount, limitedKey = "limited", "key-of-limited"
	turningAccount             = "turning"

	// trust is how long a gateway may serve by a configuration that it was told of.
	trust = 3 * time.Second
	// limitedRate and limitedBurst are in requests; quotaWindow, quotaOverage and quotaSlack
	// say how exactly they are kept.
	limitedRate  = 20
	limitedBurst = 20
	quotaWindow  = 4 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 5
)

// turningKey is the key of "turning" in a version.
func turningKey(version uint64) string { return fmt.Sprintf("key-of-version-%d", version) }

// accountsOf returns a version's accounts as its configuration has them.
func accountsOf(version uint64) string {
	const account = `{"name":%q,"api_keys":[%q],"unit":"requests","rate_per_s":%d,"burst":%d}`
	return fmt.Sprintf(account, mainAccount, mainKey, 0, 0) + "," +
		fmt.Sprintf(account, limitedAccount, limitedKey, limitedRate, limitedBurst) + "," +
		fmt.Sprintf(account, turningAccount, turningKey(version), 0, 0)
}

// carry gives a request a key: mostly that of "main", now and then one with a limit, or
// one that belongs to a version.
func carry(header http.Header, draw int, version uint64) {
	header.Set(sentHeader, strconv.FormatInt(time.Now().UnixNano(), 10))
	header.Set(accountHeader, "forged")
	switch {
	case draw < 2:
		header.Set(keyHeader, limitedKey)
	case draw < 4:
		header.Set(keyHeader, turningKey(version))
		header.Set(turningHeader, strconv.FormatUint(version, 10))
	default:
		header.Set(keyHeader, mainKey)
	}
}

// accountChecks check what replicas see of client accounts; they are safe for concurrent use.
type accountChecks struct {
	mu sync.Mutex
	// ended is when each version was overtaken by one that was acknowledged.
	ended map[uint64]time.Time
	// ran are the times at which requests of the account with a limit ran.
	ran []time.Time
}

func newAccountChecks() *accountChecks { return &accountChecks{ended: map[uint64]time.Time{}} }

// acked notes that a version was acknowledged: the keys of earlier ones end.
func (a *accountChecks) acked(version uint64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for earlier := version - 1; earlier > 0 && a.ended[earlier].IsZero(); earlier-- {
		a.ended[earlier] = now
	}
}

// see checks a request that a replica got, and returns what it breaks, "" if nothing. One that the
// replica turns away counts for no limit: its gateway may send it on under the same grant.
func (a *accountChecks) see(header http.Header, now time.Time, runs bool) string {
	if header.Get(keyHeader) != "" {
		return "a replica got the key of " + header.Get(accountHeader)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	account := header.Values(accountHeader)
	if len(account) != 1 || account[0] != mainAccount && account[0] != limitedAccount && account[0] != turningAccount {
		return fmt.Sprintf("a replica got the accounts %v", account)
	}
	if turning := header.Get(turningHeader); (turning != "") != (account[0] == turningAccount) {
		return fmt.Sprintf("a request with the key of version %q ran for %s", turning, account[0])
	}
	switch account[0] {
	case turningAccount:
		return a.checkTurning(header)
	case limitedAccount:
		if runs {
			return a.checkLimit(now)
		}
	}
	return ""
}

// checkTurning checks that a key that was taken away long enough before a request was sent
// is of no use.
func (a *accountChecks) checkTurning(header http.Header) string {
	version, err := strconv.ParseUint(header.Get(turningHeader), 10, 64)
	if err != nil {
		return "a replica got the version " + header.Get(turningHeader)
	}
	sent, err := strconv.ParseInt(header.Get(sentHeader), 10, 64)
	if err != nil {
		return "a replica got the time " + header.Get(sentHeader)
	}
	ended := a.ended[version]
	if late := time.Unix(0, sent).Sub(ended); !ended.IsZero() && late > trust {
		return fmt.Sprintf("the key of version %d ran in a request sent %s after it was taken away", version, late)
	}
	return ""
}

// checkLimit checks the account with a limit over the window that ends now.
func (a *accountChecks) checkLimit(now time.Time) string {
	a.ran = append(a.ran, now)
	for now.Sub(a.ran[0]) > quotaWindow {
		a.ran = a.ran[1:]
	}
	bound := (limitedRate*quotaWindow.Seconds()+limitedBurst)*(1+quotaOverage) + quotaSlack
	if float64(len(a.ran)) > bound {
		return fmt.Sprintf("%d requests of the account with a limit ran in a window, %.0f are allowed", len(a.ran), bound)
	}
	return ""
}
