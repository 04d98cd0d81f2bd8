package fleet

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestUnknownNamesAreBounded checks that each name is new once, and that names beyond the bound
// share a label.
func TestUnknownNamesAreBounded(t *testing.T) {
	is := is.New(t)
	names := newUnknownNames(nil)
	for i := range maxUnknownNames {
		name := fmt.Sprint("Server-Word-", i)
		label, first := names.label(name)
		is.Equal(label, name)
		is.True(first)
	}
	label, first := names.label("Server-Word-0")
	is.Equal(label, "Server-Word-0")
	is.True(!first)
	label, first = names.label("Server-Word-More")
	is.Equal(label, "others")
	is.True(!first)
}
