package control

import (
	"crypto/sha256"
	"time"

	"github.com/moorspool/moorspool/src/wire"
)

// digest is a truncated hash of a key or token. It bounds the memory of a claim regardless of the
// length of client keys.
type digest [16]byte

func digestOf(text string) digest {
	sum := sha256.Sum256([]byte(text))
	var d digest
	copy(d[:], sum[:])
	return d
}

// claimPhase is the progress of a claimed attempt.
type claimPhase uint8

const (
	phaseRunning claimPhase = iota
	phaseDone
	phaseUnknown
)

// claim is the recorded state of one key.
type claim struct {
	Token  digest     `cbor:"1,keyasint"`
	Holder uint32     `cbor:"2,keyasint"`
	Phase  claimPhase `cbor:"3,keyasint"`
	// Expires is in Unix seconds, based on the leaders' clocks.
	Expires int64 `cbor:"4,keyasint"`
}

// claims holds the claimed keys until they expire.
type claims struct {
	Keys    map[digest]claim  `cbor:"1,keyasint"`
	Holders []string          `cbor:"2,keyasint"`
	byName  map[string]uint32 `cbor:"-"`
	// Swept is the minute of the last removal of expired claims.
	Swept int64 `cbor:"3,keyasint"`
}

// sweepInterval is the minimum interval between removals of expired claims.
const sweepInterval = time.Minute

// defaultClaimExpiry applies to claims without an expiry of their own.
const defaultClaimExpiry = 24 * time.Hour

func newClaims() *claims {
	return &claims{Keys: map[digest]claim{}, byName: map[string]uint32{}}
}

func (c *claims) restore() {
	if c.Keys == nil {
		c.Keys = map[digest]claim{}
	}
	c.byName = make(map[string]uint32, len(c.Holders))
	for i, name := range c.Holders {
		c.byName[name] = uint32(i)
	}
}

// holder returns the number that stands for a holder's name.
func (c *claims) holder(name string) uint32 {
	if number, found := c.byName[name]; found {
		return number
	}
	number := uint32(len(c.Holders))
	c.Holders = append(c.Holders, name)
	c.byName[name] = number
	return number
}

func (c *claims) apply(at time.Time, cmd *claimCommand) result {
	key, token := digestOf(cmd.Key), digestOf(cmd.Token)
	if known, found := c.Keys[key]; found {
		return result{outcome: wire.Accepted, claim: known.answer(token)}
	}
	expiry := cmd.Expiry
	if expiry <= 0 {
		expiry = defaultClaimExpiry
	}
	c.Keys[key] = claim{Token: token, Holder: c.holder(cmd.Holder), Expires: at.Add(expiry).Unix()}
	return result{outcome: wire.Accepted, claim: wire.ClaimAcquired}
}

// answer returns the claim's state as seen by the given token. The attempt that holds the claim is
// told so again, because its first reply may have been lost.
func (c claim) answer(token digest) wire.ClaimState {
	switch {
	case c.Phase == phaseDone:
		return wire.ClaimDone
	case c.Phase == phaseUnknown:
		return wire.ClaimUnknown
	case c.Token == token:
		return wire.ClaimAcquired
	}
	return wire.ClaimRunning
}

func (c *claims) settle(cmd *settleCommand) result {
	key := digestOf(cmd.Key)
	known, found := c.Keys[key]
	if !found || known.Token != digestOf(cmd.Token) {
		return result{outcome: wire.Refused, reason: "the key is not claimed by this attempt"}
	}
	if known.Phase != phaseRunning {
		// Already settled: the first outcome is kept.
		return result{outcome: wire.Accepted}
	}
	if cmd.Released {
		delete(c.Keys, key)
		return result{outcome: wire.Accepted}
	}
	known.Phase = phaseDone
	if cmd.State == wire.ClaimUnknown {
		known.Phase = phaseUnknown
	}
	c.Keys[key] = known
	return result{outcome: wire.Accepted}
}

// sweep removes expired claims, at most once per sweepInterval of log time.
func (c *claims) sweep(at time.Time) {
	minute := at.Unix() / int64(sweepInterval/time.Second)
	if minute <= c.Swept {
		return
	}
	c.Swept = minute
	for key, known := range c.Keys {
		if known.Expires < at.Unix() {
			delete(c.Keys, key)
		}
	}
}
