package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

// digestBytes is the length of a digest. Finding two requests with the same 128 bits is infeasible.
const digestBytes = 16

// shownBytes is how much of a digest logs show: enough to tell the requests of a day apart, too
// little to confirm a guess of what a request contained.
const shownBytes = 4

// Digest identifies a content. It is equal for all requests of a client account with the same
// method, host, path, query and body.
type Digest [digestBytes]byte

// Content is the input of a digest. It leaves out the model, so that a request that crashes the
// replicas of one model is not accepted under the name of another.
type Content struct {
	// Account is the client account's name, "" without one.
	Account string
	Method  string
	Host    string
	// Target is the path and query as sent by the client.
	Target string
	Body   []byte
}

// Digest returns the content's digest. Each part is hashed with its length, so that different
// contents never give the same input.
func (c Content) Digest() Digest {
	h := sha256.New()
	var length [8]byte
	for _, part := range [][]byte{[]byte(c.Account), []byte(c.Method), []byte(c.Host), []byte(c.Target), c.Body} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		// A hash never returns an error.
		_, _ = h.Write(length[:])
		_, _ = h.Write(part)
	}
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// MarshalText encodes the whole digest.
func (d Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText decodes a whole digest.
func (d *Digest) UnmarshalText(text []byte) error {
	if len(text) != 2*digestBytes {
		return errors.Errorf("a digest has %d hexadecimal digits, not %d", 2*digestBytes, len(text))
	}
	_, err := hex.Decode(d[:], text)
	return errors.Wrap(err, "reading a digest")
}

// HasPrefix reports whether the digest in hexadecimal digits begins with text.
func (d Digest) HasPrefix(text string) bool {
	return text != "" && strings.HasPrefix(hex.EncodeToString(d[:]), text)
}

// String returns the part of the digest that logs show.
func (d Digest) String() string { return hex.EncodeToString(d[:shownBytes]) }
