package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/registry"
)

// A request that waited for an earlier start reaches the later one at its address, whose answer is then
// taken for the earlier one's.
func TestNothingIsSentToAStartThatWasReplaced(t *testing.T) {
	for _, c := range []struct {
		name     string
		listed   []int64 // starts in the order in which they are listed
		address  string  // of the later start
		accepted bool    // whether the earlier start is sent requests
	}{
		{"the later start is listed last", []int64{1, 2}, "192.0.2.1:1", false},
		{"the earlier start is listed last", []int64{2, 1}, "192.0.2.1:1", false},
		{"the later start has another address", []int64{1, 2}, "192.0.2.2:1", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := func() time.Time { return noon }
			f := NewFleet("z", Dial, nil, now, now)
			for _, started := range c.listed {
				address := "192.0.2.1:1"
				if started == 2 {
					address = c.address
				}
				id := registry.Incarnation{Name: "i", StartedMS: started}.ID()
				f.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: registry.Record{ID: id, Name: "i", StartedMS: started, Service: "s", Address: address, Zone: "z", Slots: 4}}}})
			}
			earlier, later := f.Peer("i@1"), f.Peer("i@2")
			wait, accepted := f.acceptsIn(earlier)
			is.Equal(accepted, c.accepted)
			is.Equal(wait, time.Duration(0))
			is.Equal(f.admit(earlier), c.accepted)
			_, accepted = f.acceptsIn(later)
			is.True(accepted)
			is.True(f.admit(later))
			f.SetReplicas(registry.Changes{Removed: []string{later.ID()}})
			is.True(f.admit(earlier)) // its clock went back, so that it is the later one
		})
	}
}
