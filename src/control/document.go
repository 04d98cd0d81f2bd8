package control

import (
	"github.com/moorspool/moorspool/src/wire"
)

// document is a whole configuration as an operator submitted it.
type document struct {
	Version uint64 `cbor:"1,keyasint"`
	Packed  []byte `cbor:"2,keyasint"`
}

// documentCommand replaces the document if its version is higher than the current one.
type documentCommand struct {
	Version uint64 `cbor:"1,keyasint"`
	Packed  []byte `cbor:"2,keyasint"`
}

// apply keeps the document with the highest version. A version that is not higher is accepted and
// changes nothing, so that a change can be sent again after its reply was lost.
func (d *document) apply(cmd *documentCommand) result {
	if cmd.Version > d.Version {
		d.Version = cmd.Version
		d.Packed = cmd.Packed
	}
	return result{outcome: wire.Accepted, version: d.Version}
}
