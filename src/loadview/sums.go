package loadview

import (
	"slices"
	"time"

	"github.com/moorspool/moorspool/src/wire"
)

// repeatAfter is when a sum is told again that has not changed, so that it does not
// cease to count.
const repeatAfter = reportLife / 3

// Sums remembers what the other control nodes were told last; it is used by one goroutine.
type Sums struct {
	told []wire.ReplicaLoad
	at   time.Time
}

// Due reports whether a sum is to be told now, and then takes it as told.
func (s *Sums) Due(now time.Time, sum []wire.ReplicaLoad) bool {
	if slices.Equal(sum, s.told) && (len(sum) == 0 || now.Sub(s.at) < repeatAfter) {
		return false
	}
	s.told, s.at = sum, now
	return true
}
