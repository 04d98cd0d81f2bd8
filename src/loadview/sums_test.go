package loadview

import (
	"testing"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/wire"
)

// TestASumThatDoesNotChangeGoesOnCounting: it is told again before others drop it.
func TestASumThatDoesNotChangeGoesOnCounting(t *testing.T) {
	is := is.New(t)
	sum := []wire.ReplicaLoad{{Replica: "r", Running: 3}}
	var s Sums
	is.True(s.Due(noon, sum))
	is.True(!s.Due(noon.Add(repeatAfter-1), sum))
	is.True(s.Due(noon.Add(repeatAfter), sum))
	is.True(repeatAfter < reportLife)
	is.True(s.Due(noon.Add(repeatAfter), nil)) // that there is nothing any more
	is.True(!s.Due(noon.Add(2*reportLife), nil))
}
