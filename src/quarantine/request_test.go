package quarantine

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestPartKeysAreBounded: prompts with no parts, many, repeated, empty and over-long ones.
func TestPartKeysAreBounded(t *testing.T) {
	is := is.New(t)
	is.Equal(len(PartKeys(nil)), 0)
	keys := PartKeys([]string{"a", "b", "", "a"})
	is.Equal(len(keys), 2)
	is.Equal(keys[1].Position, 2)
	var many []string
	for i := range 2 * maxParts {
		many = append(many, fmt.Sprint("part-", i))
	}
	is.Equal(len(PartKeys(many)), maxParts)
	long := strings.Repeat("x", 10_000)
	keys = PartKeys([]string{long + "1", long + "2"})
	is.Equal(len(keys), 2) // the whole ID counts
	is.Equal(keys[0].Part, long[:maxPartName])
}

// TestPartsAndContentsHaveDifferentKeys: no part stands for a content, nor a part for another one.
func TestPartsAndContentsHaveDifferentKeys(t *testing.T) {
	is := is.New(t)
	parts := PartKeys([]string{"a", "b"})
	is.True(parts[0].Digest != parts[1].Digest)
	is.True(parts[0].Digest != Content{Target: "a"}.Digest())
	is.Equal(parts[0].Digest, PartKeys([]string{"c", "a"})[1].Digest) // at any position
	is.Equal(parts[0].String(), "part a")
	is.Equal(Key{Digest: parts[0].Digest}.String(), "content "+parts[0].Digest.String())
}
