package loadview

import (
	"slices"
	"time"

	"github.com/moorspool/moorspool/src/wire"
)

// resendAfter is when an unchanged sum is sent again, so that it does not expire.
const resendAfter = reportLifetime / 3

// Sums tracks the sum last sent to the other control nodes. It is not safe for concurrent use.
type Sums struct {
	sent []wire.ReplicaLoad
	at   time.Time
}

// Due reports whether a sum must be sent now, and if so records it as sent.
func (s *Sums) Due(now time.Time, sum []wire.ReplicaLoad) bool {
	if slices.Equal(sum, s.sent) && (len(sum) == 0 || now.Sub(s.at) < resendAfter) {
		return false
	}
	s.sent, s.at = sum, now
	return true
}
