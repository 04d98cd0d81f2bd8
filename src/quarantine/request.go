package quarantine

import (
	"crypto/sha256"
	"slices"
)

// Limits of the parts of a prompt.
const (
	// maxParts is the number of parts of a prompt that are tracked.
	maxParts = 128
	// maxPartName is how many bytes of a part's ID are kept for logs and operators.
	maxPartName = 32
)

// partDomain keeps the digests of parts apart from those of contents, which begin with the length of an
// account's name.
const partDomain = "prompt part\x00"

// Key identifies what crashes are counted for: a content, or a part of prompts that requests share.
type Key struct {
	Digest Digest
	// Part is the ID of the part, shortened to 32 bytes, "" for a content.
	Part string
	// Position is the part's position in its prompt from 1, 0 for a content.
	Position int
}

// Name returns the ID of a part, or the digest of a content as logs show it.
func (k Key) Name() string {
	if k.Part != "" {
		return k.Part
	}
	return k.Digest.String()
}

// String returns what the key identifies and its name.
func (k Key) String() string {
	if k.Part != "" {
		return "part " + k.Part
	}
	return "content " + k.Digest.String()
}

// Request is what of a request may crash the replicas that run it.
type Request struct {
	Content Digest
	// Parts are the parts of its prompt that other requests may share.
	Parts []Key
	// Begun is set if its client has received the beginning of the response.
	Begun bool
}

// PartKeys returns the keys of the parts of a prompt, given by their IDs in order, without repeated and
// empty ones. Parts beyond the first 128 are left out.
func PartKeys(ids []string) []Key {
	if len(ids) == 0 {
		return nil
	}
	keys := make([]Key, 0, min(len(ids), maxParts))
	for i, id := range ids[:min(len(ids), maxParts)] {
		digest := partDigest(id)
		if id == "" || slices.ContainsFunc(keys, func(known Key) bool { return known.Digest == digest }) {
			continue
		}
		keys = append(keys, Key{Digest: digest, Part: id[:min(len(id), maxPartName)], Position: i + 1})
	}
	return keys
}

func partDigest(id string) Digest {
	var buffer [128]byte
	sum := sha256.Sum256(append(append(buffer[:0], partDomain...), id...))
	return Digest(sum[:digestBytes])
}
