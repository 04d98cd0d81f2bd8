package endproof

import "math"

// ShortShareBound returns the largest chance, over all constant shares p of short closes, that so many checked closes
// are all whole and the next one is short: p(1-p)^n, which is largest at p = 1/(n+1).
func ShortShareBound(confirmations int) float64 {
	n := float64(confirmations)
	return math.Pow(n/(n+1), n) / (n + 1)
}

// ConfirmationsFor returns the fewest confirmations whose ShortShareBound is at most the given bound.
func ConfirmationsFor(bound float64) int {
	low, high := 0, 1
	for ShortShareBound(high) > bound {
		low, high = high, 2*high
	}
	for low+1 < high {
		if middle := (low + high) / 2; ShortShareBound(middle) > bound {
			low = middle
		} else {
			high = middle
		}
	}
	if ShortShareBound(low) <= bound {
		return low
	}
	return high
}

// ConfirmationsAgainst returns the whole closes in a row after which the share is rejected with the given chance of error:
// Wald's sequential test of it against a share of 0, which a single short close decides the other way.
func ConfirmationsAgainst(share, chance float64) int {
	return int(math.Ceil(math.Log(chance) / math.Log1p(-share)))
}

// UntilSeen returns how many short streams are expected to end as complete before a short close is checked, if so
// large a share of all closes is.
func UntilSeen(checkedShare float64) float64 {
	return (1 - checkedShare) / checkedShare
}
