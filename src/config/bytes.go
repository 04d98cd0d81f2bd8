package config

import (
	"encoding"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/pkg/errors"
)

// Bytes is an amount of memory, written like "14GiB" in YAML and JSON.
type Bytes int64

// The binary multiples of a byte.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

type byteUnit struct {
	suffix string
	size   Bytes
}

// The units, with "B" last, since the other suffixes end with it too.
var byteUnits = []byteUnit{{"KiB", KiB}, {"MiB", MiB}, {"GiB", GiB}, {"B", 1}}

// String formats the amount in the largest unit that divides it.
func (b Bytes) String() string {
	switch {
	case b != 0 && b%GiB == 0:
		return strconv.FormatInt(int64(b/GiB), 10) + "GiB"
	case b != 0 && b%MiB == 0:
		return strconv.FormatInt(int64(b/MiB), 10) + "MiB"
	case b != 0 && b%KiB == 0:
		return strconv.FormatInt(int64(b/KiB), 10) + "KiB"
	}
	return strconv.FormatInt(int64(b), 10) + "B"
}

// MarshalText formats the amount as String does.
func (b Bytes) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// UnmarshalYAML parses an amount. Its error holds the location.
func (b *Bytes) UnmarshalYAML(node ast.Node) error { return unmarshalAt(node, b) }

// unmarshalAt parses a scalar as text. Its error holds the scalar's location.
func unmarshalAt(node ast.Node, target encoding.TextUnmarshaler) error {
	text := node.GetToken().Value
	if err := target.UnmarshalText([]byte(text)); err != nil {
		return &yaml.SyntaxError{Message: err.Error(), Token: node.GetToken()}
	}
	return nil
}

// UnmarshalText parses an amount such as "14GiB". It fails if the unit is missing
// or the amount is negative.
func (b *Bytes) UnmarshalText(text []byte) error {
	trimmed := strings.TrimSpace(string(text))
	for _, unit := range byteUnits {
		digits, found := strings.CutSuffix(trimmed, unit.suffix)
		if !found {
			continue
		}
		amount, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || amount < 0 || amount > (1<<62)/int64(unit.size) {
			return errors.Errorf("%q is not an amount of memory such as 14GiB", trimmed)
		}
		*b = Bytes(amount) * unit.size
		return nil
	}
	return errors.Errorf("%q is not an amount of memory such as 14GiB", trimmed)
}
