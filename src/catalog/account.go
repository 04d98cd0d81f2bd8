package catalog

import (
	"crypto/sha256"
	"encoding/hex"
)

// Key is a secret that a client account's requests carry. Printed, it shows only its
// fingerprint.
type Key string

// fingerprintBytes is how much of a key's hash is shown: enough to tell an operator's
// keys apart, too little to search for one.
const fingerprintBytes = 4

// String returns the key's fingerprint.
func (k Key) String() string {
	sum := sha256.Sum256([]byte(k))
	return "key-" + hex.EncodeToString(sum[:fingerprintBytes])
}

// GoString returns the key's fingerprint.
func (k Key) GoString() string { return k.String() }

// Unit says what a client account's limit counts.
type Unit string

// The units of a limit.
const (
	// Requests counts each request as one.
	Requests Unit = "requests"
	// Tokens counts the tokens of the prompt and the most that may come out.
	Tokens Unit = "tokens"
)

// Limit is how much a client account may ask for, over all gateways together.
type Limit struct {
	Unit Unit
	// Rate is in units a second, 0 for no limit.
	Rate float64
	// Burst is what may come on top, in units.
	Burst float64
}

// Account is a client account with the keys by which its requests are known.
type Account struct {
	Name string
	Keys []Key
	// Priority goes before the route's, nil if the account has none.
	Priority *int
	// Regions are those in which its requests may be served, empty for all.
	Regions []string
	Limit   Limit
	// DefaultTokens is what a request counts that does not tell its tokens.
	DefaultTokens int
}

// Cost is what a request counts against the account's limit, in its unit; tokens is 0 if
// the request does not tell them.
func (a *Account) Cost(tokens int) float64 {
	switch {
	case a.Limit.Unit != Tokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(max(a.DefaultTokens, 1))
}
