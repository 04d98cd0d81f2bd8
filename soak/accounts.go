package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Client accounts of a run with their keys and limits. Each version of the configuration has its own
// key for the account "turning"; the next version revokes it.
const (
	keyHeader     = "Api-Key"
	accountHeader = "X-Tenant"
	// keyVersionHeader tells the replica which version the request's key belongs to, sentHeader when
	// the first byte of the request was sent, in Unix nanoseconds.
	keyVersionHeader = "Soak-Key-Version"
	sentHeader       = "Soak-Sent"

	mainAccount, mainKey       = "main", "key-of-main"
	limitedAccount, limitedKey = "limited", "key-of-limited"
	versionedAccount           = "turning"

	// trustPeriod is how long a gateway may use a configuration without a newer confirmation.
	trustPeriod = 3 * time.Second
	// limitedRate and limitedBurst count requests; quotaWindow, quotaOverage and quotaSlack set how
	// much the limit may be exceeded.
	limitedRate  = 20
	limitedBurst = 20
	quotaWindow  = 4 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 5
)

// versionedKey returns the key of the account "turning" in a version.
func versionedKey(version uint64) string { return fmt.Sprintf("key-of-version-%d", version) }

// accountsOf returns the account section of a version's configuration.
func accountsOf(version uint64) string {
	const account = `{"name":%q,"api_keys":[%q],"unit":"requests","rate_per_s":%d,"burst":%d}`
	return fmt.Sprintf(account, mainAccount, mainKey, 0, 0) + "," +
		fmt.Sprintf(account, limitedAccount, limitedKey, limitedRate, limitedBurst) + "," +
		fmt.Sprintf(account, versionedAccount, versionedKey(version), 0, 0)
}

// setAccountHeaders sets the API key of a request: usually that of the account "main", sometimes
// that of the limited account or one that belongs to a version.
func setAccountHeaders(header http.Header, draw int, version uint64) {
	header.Set(sentHeader, strconv.FormatInt(time.Now().UnixNano(), 10))
	header.Set(accountHeader, "forged")
	switch {
	case draw < 2:
		header.Set(keyHeader, limitedKey)
	case !isMainAccount(draw):
		header.Set(keyHeader, versionedKey(version))
		header.Set(keyVersionHeader, strconv.FormatUint(version, 10))
	default:
		header.Set(keyHeader, mainKey)
	}
}

// isMainAccount reports whether a draw chooses the account without a limit.
func isMainAccount(draw int) bool { return draw >= 4 }

// accountChecks checks what replicas see of client accounts. It is safe for concurrent use.
type accountChecks struct {
	mu sync.Mutex
	// replacedAt holds when each version was superseded by an acknowledged one.
	replacedAt map[uint64]time.Time
	// runTimes are the times at which requests of the limited account ran.
	runTimes []time.Time
}

func newAccountChecks() *accountChecks { return &accountChecks{replacedAt: map[uint64]time.Time{}} }

// acked records that a version was acknowledged, which revokes the keys of earlier versions.
func (a *accountChecks) acked(version uint64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for earlier := version - 1; earlier > 0 && a.replacedAt[earlier].IsZero(); earlier-- {
		a.replacedAt[earlier] = now
	}
}

// check checks a request that reached a replica and returns the rule that it violates, "" if none. A
// request that the replica refuses does not count against the limit, as its gateway may send it to
// another replica under the same grant.
func (a *accountChecks) check(header http.Header, now time.Time, runs bool) string {
	if header.Get(keyHeader) != "" {
		return "a replica got the key of " + header.Get(accountHeader)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	account := header.Values(accountHeader)
	if len(account) != 1 || account[0] != mainAccount && account[0] != limitedAccount && account[0] != versionedAccount {
		return fmt.Sprintf("a replica got the accounts %v", account)
	}
	if keyVersion := header.Get(keyVersionHeader); (keyVersion != "") != (account[0] == versionedAccount) {
		return fmt.Sprintf("a request with the key of version %q ran for %s", keyVersion, account[0])
	}
	switch account[0] {
	case versionedAccount:
		return a.checkVersionedKey(header)
	case limitedAccount:
		if runs {
			return a.checkLimit(now)
		}
	}
	return ""
}

// checkVersionedKey checks that no request was accepted whose key had been revoked more than
// trustPeriod before it was sent.
func (a *accountChecks) checkVersionedKey(header http.Header) string {
	version, err := strconv.ParseUint(header.Get(keyVersionHeader), 10, 64)
	if err != nil {
		return "a replica got the version " + header.Get(keyVersionHeader)
	}
	sent, err := strconv.ParseInt(header.Get(sentHeader), 10, 64)
	if err != nil {
		return "a replica got the time " + header.Get(sentHeader)
	}
	replacedAt := a.replacedAt[version]
	if late := time.Unix(0, sent).Sub(replacedAt); !replacedAt.IsZero() && late > trustPeriod {
		return fmt.Sprintf("the key of version %d ran in a request sent %s after it was taken away", version, late)
	}
	return ""
}

// checkLimit checks the limited account over the window that ends now.
func (a *accountChecks) checkLimit(now time.Time) string {
	a.runTimes = append(a.runTimes, now)
	for now.Sub(a.runTimes[0]) > quotaWindow {
		a.runTimes = a.runTimes[1:]
	}
	bound := (limitedRate*quotaWindow.Seconds()+limitedBurst)*(1+quotaOverage) + quotaSlack
	if float64(len(a.runTimes)) > bound {
		return fmt.Sprintf("%d requests of the account with a limit ran in a window, %.0f are allowed", len(a.runTimes), bound)
	}
	return ""
}
