package fleet

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/wire"
)

// A control node that can't decode the configuration in force went on with the one before, told nobody, and
// decoded it again with each question.
func TestUnusableConfigurationIsReportedOnce(t *testing.T) {
	is := is.New(t)
	decoded := 0
	var reported []uint64
	cache := tableCache{
		decode: func(raw []byte) (catalog.Document, error) {
			decoded++
			if string(raw) != "good" {
				return catalog.Document{}, errors.New("not JSON")
			}
			return catalog.Document{Version: 1}, nil
		},
		unusable: func(version uint64, _ error) { reported = append(reported, version) },
	}
	get := func(version uint64, raw string) *catalog.Table {
		return cache.get(version, func() wire.Document { return wire.Document{Version: version, Packed: wire.Pack([]byte(raw))} })
	}
	first := get(1, "good")
	is.True(first != nil)
	for range 3 {
		is.Equal(get(2, "bad"), first)
	}
	is.Equal(reported, []uint64{2})
	is.Equal(decoded, 2)
	is.True(get(3, "good") != first)
}
