package control

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/wire"
)

// command is one entry of the replicated log. Exactly one of the pointer fields is set. At is the
// leader's clock, so that every control node applies the entry with the same time.
type command struct {
	At     time.Time      `cbor:"1,keyasint"`
	Change *changeCommand `cbor:"2,keyasint,omitempty"`
	Grant  *grantCommand  `cbor:"3,keyasint,omitempty"`
	Claim  *claimCommand  `cbor:"4,keyasint,omitempty"`
	Settle *settleCommand `cbor:"5,keyasint,omitempty"`
	// Document sets a whole configuration document together with its version.
	Document *documentCommand `cbor:"6,keyasint,omitempty"`
	// Extension records the units that a client account may use at once beyond its rate.
	Extension *extensionCommand `cbor:"7,keyasint,omitempty"`
	// Zone drains an availability zone or ends its drain.
	Zone *zoneCommand `cbor:"8,keyasint,omitempty"`
}

// changeCommand is a change that the leader has validated against the configuration at revision
// Checked. The state machine only verifies that the configuration is still at that revision;
// validating again there could let control nodes of different versions diverge.
type changeCommand struct {
	Change  config.Change
	Checked config.Revision
	// Assign holds the new assignments of models to availability zones.
	Assign []config.Object
	// Unassign names the models whose assignments are removed.
	Unassign []config.Key
}

// grantCommand grants or renews the authority over a zone.
type grantCommand struct {
	Zone    string
	Holder  string
	Address string
	Epoch   uint64
	// Renewed is the log index of the last renewal that the leader had applied. A takeover is
	// rejected if the lease has been renewed since.
	Renewed uint64
}

// claimCommand claims an idempotency key for one attempt, identified by its token.
type claimCommand struct {
	Key    string
	Token  string
	Holder string
	Expiry time.Duration
}

// settleCommand records how a claimed attempt ended, or releases its key.
type settleCommand struct {
	Key      string
	Token    string
	State    wire.ClaimState
	Released bool
}

// extensionCommand sets the units that a client account may use at once beyond its rate; 0 removes
// the extension.
type extensionCommand struct {
	Account string  `cbor:"1,keyasint"`
	Units   float64 `cbor:"2,keyasint"`
}

func (c command) encode() ([]byte, error) {
	data, err := cbor.Marshal(c)
	return data, errors.Wrap(err, "encoding a command")
}

// result is the result of applying a command.
type result struct {
	outcome   wire.Outcome
	revision  config.Revision
	conflicts []wire.Conflict
	raced     bool
	claim     wire.ClaimState
	epoch     uint64
	// renewed is the zone whose lease the entry granted or renewed, "" if none.
	renewed string
	reason  string
	// zoneOrder is the zone order that the entry carried, nil for any other entry.
	zoneOrder *zoneCommand
	// version is the version of the document in force after the entry.
	version uint64
	// index is the log index of the entry.
	index uint64
}
