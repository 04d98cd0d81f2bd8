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
		h.Set(turningHeader, version)
	}
	return h
}

// TestTheAccountChecksFindWhatIsBroken: each promise, broken by hand, is reported.
func TestTheAccountChecksFindWhatIsBroken(t *testing.T) {
	now := time.Now()
	withKey := headerOf(mainAccount, "", now)
	withKey.Set(keyHeader, mainKey)
	for want, header := range map[string]http.Header{
		"got the key":      withKey,
		"got the accounts": headerOf("forged", "", now),
		"ran for main":     headerOf(mainAccount, "3", now),
		"taken away":       headerOf(turningAccount, "3", now.Add(trust+time.Second)),
	} {
		a := newAccountChecks()
		a.acked(4, now)
		if got := a.see(header, now, true); !strings.Contains(got, want) {
			t.Errorf("%q found: %q", want, got)
		}
	}
	a := newAccountChecks()
	a.acked(4, now)
	if got := a.see(headerOf(turningAccount, "3", now.Add(trust/2)), now, true); got != "" {
		t.Error(got)
	}
	found := ""
	for range 200 {
		if got := a.see(headerOf(limitedAccount, "", now), now, true); got != "" {
			found = got
		}
	}
	if !strings.Contains(found, "window") {
		t.Errorf("a flood found: %q", found)
	}
}

// TestWhatIsTurnedAwayCountsForNoLimit, and its headers are checked all the same.
func TestWhatIsTurnedAwayCountsForNoLimit(t *testing.T) {
	now := time.Now()
	a := newAccountChecks()
	for range 1000 {
		if got := a.see(headerOf(limitedAccount, "", now), now, false); got != "" {
			t.Fatal(got)
		}
	}
	leaked := headerOf(limitedAccount, "", now)
	leaked.Set(keyHeader, "k")
	if a.see(leaked, now, false) == "" {
		t.Error("a key that reached a replica was not found")
	}
}
