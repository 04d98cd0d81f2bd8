package placer

import (
	"testing"

	"github.com/matryer/is"
)

// TestAnOrderOfAnEarlierTermIsNotSent: a node that led, lost its lease and leads again does not know what came in between.
func TestAnOrderOfAnEarlierTermIsNotSent(t *testing.T) {
	for _, c := range []struct {
		name string
		lead Leading
		want bool
	}{
		{"the same term", Leading{Self: true, Token: 7}, true},
		{"a later term of this node", Leading{Self: true, Token: 8}, false},
		{"another node leads", Leading{Token: 7}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &Placer{options: Options{Leading: func() Leading { return c.lead }}}
			is.New(t).Equal(p.leadsFor(Order{Token: 7}), c.want)
		})
	}
}
