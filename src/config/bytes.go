package config

import (
	"encoding"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/pkg/errors"
)

// Bytes is an amount of memory, written as "14GiB" in YAML and JSON.
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

// Longest suffix first, so that "GiB" is not read as "B".
var byteUnits = []byteUnit{{"KiB", KiB}, {"MiB", MiB}, {"GiB", GiB}, {"B", 1}}

// String writes the largest unit that divides the amount.
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

// MarshalText writes the amount as String does.
func (b Bytes) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// UnmarshalYAML reads an amount; its error has the place.
func (b *Bytes) UnmarshalYAML(node ast.Node) error { return unmarshalAt(node, b) }

// unmarshalAt reads a scalar as text and gives its error the scalar's place.
func unmarshalAt(node ast.Node, into encoding.TextUnmarshaler) error {
	text := node.GetToken().Value
	if err := into.UnmarshalText([]byte(text)); err != nil {
		return &yaml.SyntaxError{Message: err.Error(), Token: node.GetToken()}
	}
	return nil
}

// UnmarshalText reads an amount such as "14GiB"; it fails without a unit or on a negative amount.
func (b *Bytes) UnmarshalText(text []byte) error {
	word := strings.TrimSpace(string(text))
	for _, unit := range byteUnits {
		digits, found := strings.CutSuffix(word, unit.suffix)
		if !found {
			continue
		}
		amount, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || amount < 0 || amount > (1<<62)/int64(unit.size) {
			return errors.Errorf("%q is not an amount of memory such as 14GiB", word)
		}
		*b = Bytes(amount) * unit.size
		return nil
	}
	return errors.Errorf("%q is not an amount of memory such as 14GiB", word)
}
