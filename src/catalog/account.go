package catalog

import (
	"crypto/sha256"
	"encoding/hex"
)

// Key is a secret that identifies a client account's requests. Formatting it prints only its
// fingerprint.
type Key string

// fingerprintBytes is the number of printed bytes of a key's hash: enough to tell an operator's
// keys apart, too few to search for a key.
const fingerprintBytes = 4

// String returns the key's fingerprint.
func (k Key) String() string {
	sum := sha256.Sum256([]byte(k))
	return "key-" + hex.EncodeToString(sum[:fingerprintBytes])
}

// GoString returns the key's fingerprint.
func (k Key) GoString() string { return k.String() }

// Unit is what a client account's limit counts.
type Unit string

// The units of a limit.
const (
	// Requests counts each request as one.
	Requests Unit = "requests"
	// Tokens counts the tokens of the prompt plus the maximum number of output tokens.
	Tokens Unit = "tokens"
)

// Limit is the rate limit of a client account, over all gateways together.
type Limit struct {
	Unit Unit
	// Rate is in units per second, 0 for no limit.
	Rate float64
	// Burst is how many units may exceed the rate at once.
	Burst float64
}

// Account is a client account with the keys that identify its requests.
type Account struct {
	Name string
	Keys []Key
	// Priority overrides the route's priority unless it is nil.
	Priority *int
	// Regions are the regions in which the account's requests may be served, empty for all.
	Regions []string
	Limit   Limit
	// DefaultTokens is the cost of a request that does not state its tokens.
	DefaultTokens int
}

// Cost returns a request's cost in the unit of the account's limit. tokens is 0 if the request does
// not state them.
func (a *Account) Cost(tokens int) float64 {
	switch {
	case a.Limit.Unit != Tokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return float64(max(a.DefaultTokens, 1))
}
