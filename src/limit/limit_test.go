package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var noon = time.Unix(1_800_000_000, 0)

func isCalled(t *Ticket) bool {
	select {
	case <-t.Ready():
		return true
	default:
		return false
	}
}

func TestHigherPriorityGoesFirstButNobodyStarves(t *testing.T) {
	is := is.New(t)
	q := NewQueues(8)
	low := q.Join("m", 0, noon)
	high := q.Join("m", 1, noon.Add(100*time.Millisecond))
	late := q.Join("m", 1, noon.Add(time.Second))
	is.True(q.Release("m"))
	is.True(isCalled(high))
	is.True(q.Release("m"))
	is.True(isCalled(low)) // it has waited longer than waitPerPriority
	is.True(q.Release("m"))
	is.True(isCalled(late))
	is.True(!q.Release("m"))
}

func TestFullQueueGivesItsLastPlaceToHigherPriority(t *testing.T) {
	is := is.New(t)
	q := NewQueues(1)
	low := q.Join("m", 0, noon)
	is.True(q.Join("m", 0, noon) == nil)
	is.True(q.Join("m", 3, noon) != nil)
	select {
	case <-low.Evicted():
	default:
		t.Error("the evicted request was not told")
	}
	q.Leave(low)
	is.Equal(q.Waiting("m"), 1)
}

func TestRetriesStayWithinTheirShare(t *testing.T) {
	b := NewRetryBudget(0.1)
	retries := 0
	for range 1000 {
		if b.Take() {
			retries++
		}
		b.Succeeded()
	}
	if retries > 100+initialTokens {
		t.Errorf("%d retries for 1,000 successes", retries)
	}
}
