package schedule

import (
	"container/heap"
	"fmt"
	"time"
)

const (
	// placeWorks is after how many times its expected work a place expires whose end is not
	// reported. What still runs then is counted by the replica's state.
	placeWorks = 3
	// minPlaceTTL is added, as short requests vary by more.
	minPlaceTTL = time.Second
	// minExpiries is the number of expiries that are not worth to be compacted.
	minExpiries = 64
)

// place is a slot that was given to a request.
type place struct {
	replica *replica
	request *waitingRequest
	expires time.Time
}

// placeTTL returns when a place expires.
func placeTTL(work time.Duration) time.Duration { return placeWorks*work + minPlaceTTL }

// waitReason says how long a request waited.
func waitReason(waited time.Duration) string {
	if waited <= 0 {
		return "room at once"
	}
	return fmt.Sprintf("waited %v", waited.Round(time.Millisecond))
}

// expiry is when a place expires.
type expiry struct {
	at     time.Time
	ticket uint64
}

// expiries is a heap of expiries, the first one on top. Those of released places stay until they are
// due or compacted.
type expiries []expiry

func (e expiries) Len() int           { return len(e) }
func (e expiries) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e expiries) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push is for the heap package only.
func (e *expiries) Push(x any) { *e = append(*e, x.(expiry)) }

// Pop is for the heap package only.
func (e *expiries) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (e *expiries) add(x expiry) { heap.Push(e, x) }

func (e *expiries) next() expiry { return heap.Pop(e).(expiry) }

// compact removes the expiries of released places.
func (e *expiries) compact(places map[uint64]*place) {
	kept := (*e)[:0]
	for _, x := range *e {
		if places[x.ticket] != nil {
			kept = append(kept, x)
		}
	}
	*e = kept
	heap.Init(e)
}
