package control

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/wire"
)

// command is one entry of the log; exactly one of its parts is set. Time is the
// leader's, so that every control node applies the same one.
type command struct {
	At     time.Time      `cbor:"1,keyasint"`
	Change *changeCommand `cbor:"2,keyasint,omitempty"`
	Grant  *grantCommand  `cbor:"3,keyasint,omitempty"`
	Claim  *claimCommand  `cbor:"4,keyasint,omitempty"`
	Settle *settleCommand `cbor:"5,keyasint,omitempty"`
	// Document is a whole configuration under a version.
	Document *documentCommand `cbor:"6,keyasint,omitempty"`
	// Extension records how much a client account may use at once beyond its rate.
	Extension *extensionCommand `cbor:"7,keyasint,omitempty"`
	// Zone drains an availability zone or ends that.
	Zone *zoneCommand `cbor:"8,keyasint,omitempty"`
}

// changeCommand is a change that the leader has checked against the
// configuration at Checked. The state machine itself checks only that nothing
// came between, so that control nodes of different versions can't disagree.
type changeCommand struct {
	Change  config.Change
	Checked config.Revision
	// Assign holds the availability zones of the models that need new ones.
	Assign []config.Object
	// Unassign names models that are gone.
	Unassign []config.Key
}

// grantCommand gives or renews authority over a zone.
type grantCommand struct {
	Zone    string
	Holder  string
	Address string
	Epoch   uint64
	// Renewed is the log index of the last renewal that the leader knew of: a
	// renewal that came between makes a take-over void.
	Renewed uint64
}

type claimCommand struct {
	Key    string
	Token  string
	Holder string
	Expiry time.Duration
}

type settleCommand struct {
	Key      string
	Token    string
	State    wire.ClaimState
	Released bool
}

// extensionCommand sets the units that a client account may use at once, 0 to end that.
type extensionCommand struct {
	Account string  `cbor:"1,keyasint"`
	Units   float64 `cbor:"2,keyasint"`
}

func (c command) encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, errors.Wrap(err, "encoding a command")
}

// result is what applying a command came to.
type result struct {
	outcome   wire.Outcome
	revision  config.Revision
	conflicts []wire.Conflict
	raced     bool
	claim     wire.ClaimState
	epoch     uint64
	// renewed names the zone whose lease the entry granted or renewed.
	renewed string
	reason  string
	// ordered is the zone order that the entry carried, nil for any other entry.
	ordered *zoneCommand
	// version is the document's version in force after the entry.
	version uint64
	// index is the entry's place in the log.
	index uint64
}
