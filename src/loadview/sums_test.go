package loadview

import (
	"testing"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/wire"
)

// TestUnchangedSumDoesNotExpire checks that an unchanged sum is sent again before it expires.
func TestUnchangedSumDoesNotExpire(t *testing.T) {
	is := is.New(t)
	sum := []wire.ReplicaLoad{{Replica: "r", Running: 3}}
	var s Sums
	is.True(s.Due(baseTime, sum))
	is.True(!s.Due(baseTime.Add(resendAfter-1), sum))
	is.True(s.Due(baseTime.Add(resendAfter), sum))
	is.True(resendAfter < reportLifetime)
	is.True(s.Due(baseTime.Add(resendAfter), nil)) // an empty sum after a nonempty one
	is.True(!s.Due(baseTime.Add(2*reportLifetime), nil))
}
