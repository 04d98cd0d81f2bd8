package resume

import (
	"crypto/sha256"
	"encoding/base64"

	"github.com/pkg/errors"
)

// Origin is what wrote the first event of a stream.
type Origin struct {
	Service         string
	SoftwareVersion string
}

// Known reports whether the origin is known completely.
func (o Origin) Known() bool { return o.Service != "" && o.SoftwareVersion != "" }

// keyBytes is the length of a key, which makes equal keys of two attempts implausible.
const keyBytes = 16

// Key identifies a client attempt of a client account on a route. It is a digest, so that IDs of any
// length take the same room and an ID tells nothing without its account.
type Key [keyBytes]byte

// NewKey returns the key of an attempt; account is "" for requests without a client account.
func NewKey(account, route, attempt string) Key {
	sum := sha256.Sum256([]byte(account + "\x00" + route + "\x00" + attempt))
	return Key(sum[:keyBytes])
}

// MarshalText encodes the key in base64.
func (k Key) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, k[:]), nil
}

// UnmarshalText decodes a key. It returns an error if the text is not the encoding of one.
func (k *Key) UnmarshalText(text []byte) error {
	decoded, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil {
		return errors.Wrap(err, "decoding the key of a stream")
	}
	if len(decoded) != keyBytes {
		return errors.Errorf("the key of a stream has %d bytes, not %d", len(decoded), keyBytes)
	}
	*k = Key(decoded)
	return nil
}
