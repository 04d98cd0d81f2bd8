package main

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

func headerOf(account, version string, sent time.Time) http.Header {
	h := http.Header{}
	h.Set(accountHeader, account)
	h.Set(sentHeader, strconv.FormatInt(sent.UnixNano(), 10))
	if version != "" {
		h.Set(keyVersionHeader, version)
	}
	return h
}

// TestAccountChecksReportViolations checks that a violation of each account rule is reported.
func TestAccountChecksReportViolations(t *testing.T) {
	now := time.Now()
	withKey := headerOf(mainAccount, "", now)
	withKey.Set(keyHeader, mainKey)
	for want, header := range map[string]http.Header{
		"got the key":      withKey,
		"got the accounts": headerOf("forged", "", now),
		"ran for main":     headerOf(mainAccount, "3", now),
		"taken away":       headerOf(versionedAccount, "3", now.Add(trustPeriod+time.Second)),
	} {
		a := newAccountChecks()
		a.acked(4, now)
		if got := a.check(header, now, true); !strings.Contains(got, want) {
			t.Errorf("%q found: %q", want, got)
		}
	}
	a := newAccountChecks()
	a.acked(4, now)
	if got := a.check(headerOf(versionedAccount, "3", now.Add(trustPeriod/2)), now, true); got != "" {
		t.Error(got)
	}
	found := ""
	for range 200 {
		if got := a.check(headerOf(limitedAccount, "", now), now, true); got != "" {
			found = got
		}
	}
	if !strings.Contains(found, "window") {
		t.Errorf("a flood found: %q", found)
	}
}

// TestRefusedRequestsDoNotCountAgainstLimit checks that a request that its replica refuses is left
// out of the limit while its headers are still checked.
func TestRefusedRequestsDoNotCountAgainstLimit(t *testing.T) {
	now := time.Now()
	a := newAccountChecks()
	for range 1000 {
		if got := a.check(headerOf(limitedAccount, "", now), now, false); got != "" {
			t.Fatal(got)
		}
	}
	leaked := headerOf(limitedAccount, "", now)
	leaked.Set(keyHeader, "k")
	if a.check(leaked, now, false) == "" {
		t.Error("a key that reached a replica was not found")
	}
}
