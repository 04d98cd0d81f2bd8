package place

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/config"
)

// testAccelerators returns accelerators on a number of hosts with one accelerator each.
func testAccelerators(hosts int, free config.Bytes) []Accelerator {
	var all []Accelerator
	for i := 0; i < hosts; i++ {
		all = append(all, Accelerator{Host: "h" + strconv.Itoa(i), Free: free, Available: true, Slots: 8})
	}
	return all
}

func TestPlanEndsWhenNoLoadMayStart(t *testing.T) {
	// Adding copies looped for ever when a model wanted more copies and the
	// limits of the weight store allowed no load.
	out := Plan(Input{
		Models:       []Model{{Name: "m", Footprint: 1, Demand: 100}},
		Accelerators: testAccelerators(4, 10),
		Copies:       []Copy{{Model: "m", Accelerator: 0, Ready: true}},
		MaxLoads:     0,
	})
	is := is.New(t)
	is.Equal(len(out.Steps), 0)
	is.Equal(len(out.Unplaced), 0)
}

func TestPlanRestoresByRankFirst(t *testing.T) {
	out := Plan(Input{
		Models:       []Model{{Name: "low", Footprint: 6}, {Name: "high", Footprint: 6, Rank: 1}},
		Accelerators: testAccelerators(1, 10),
		MaxLoads:     9,
	})
	is := is.New(t)
	is.Equal(len(out.Steps), 1)
	is.Equal(out.Steps[0].Model, "high")
	is.Equal(out.Unplaced, []string{"low"})
}

func TestPlanNeverDropsTheLastServingCopy(t *testing.T) {
	// The other copy of "a" is on a leaving host and must not count.
	in := Input{
		Models:       []Model{{Name: "a", Footprint: 6}, {Name: "b", Footprint: 6, Rank: 1}},
		Accelerators: testAccelerators(2, 4),
		Copies:       []Copy{{Model: "a", Accelerator: 0, Ready: true}, {Model: "a", Accelerator: 1, Ready: true}},
		MaxLoads:     9,
	}
	in.Accelerators[1].Available = false
	out := Plan(in)
	is := is.New(t)
	for _, step := range out.Steps {
		is.True(step.Action != ActionDrop || step.Accelerator != 0) // the copy on the open host is kept
	}
	is.Equal(out.Unplaced, []string{"b"})
}

func TestPlanMakesRoomFromSpareCopies(t *testing.T) {
	out := Plan(Input{
		Models:       []Model{{Name: "a", Footprint: 6}, {Name: "b", Footprint: 6}},
		Accelerators: testAccelerators(2, 4),
		Copies:       []Copy{{Model: "a", Accelerator: 0, Ready: true}, {Model: "a", Accelerator: 1, Ready: true}},
		MaxLoads:     9,
	})
	is := is.New(t)
	is.Equal(len(out.Steps), 1)
	is.Equal(out.Steps[0].Action, ActionDrop)
	is.Equal(len(out.Unplaced), 0)
}

func TestPlanReplacesAnOutdatedCopyInPlace(t *testing.T) {
	// Each host holds a copy, so that one of them has to be dropped before the new
	// version is loaded. The free memory must remain usable for other models.
	in := Input{
		Models:       []Model{{Name: "a", Footprint: 6}, {Name: "b", Footprint: 6}},
		Accelerators: testAccelerators(2, 8),
		Copies:       []Copy{{Model: "a", Accelerator: 0, Ready: true, Stale: true}, {Model: "a", Accelerator: 1, Ready: true, Stale: true}},
		MaxLoads:     9,
	}
	out := Plan(in)
	is := is.New(t)
	is.Equal(len(out.Unplaced), 0)
	is.Equal(out.Steps[0].Action, ActionDrop)
	is.Equal(out.Steps[0].Model, "a")
	is.Equal(out.Steps[1].Action, ActionLoad)
	is.Equal(out.Steps[1].Model, "b")
}

// TestModelOnlyOnLeavingHostsGetsRoom guards against counting a copy on a leaving host when room is
// made for the model's next copy.
func TestModelOnlyOnLeavingHostsGetsRoom(t *testing.T) {
	is := is.New(t)
	in := Input{
		Models: []Model{
			{Name: "stranded", Footprint: 10, Demand: 300},
			{Name: "spare", Footprint: 10, Copies: 2, Demand: 1},
		},
		Accelerators: []Accelerator{
			{Host: "leaves", Slots: 100},
			{Host: "a", Available: true, Slots: 100},
			{Host: "b", Available: true, Slots: 100},
		},
		Copies: []Copy{
			{Model: "stranded", Accelerator: 0, Ready: true},
			{Model: "spare", Accelerator: 1, Ready: true},
			{Model: "spare", Accelerator: 2, Ready: true},
		},
		MaxLoads: 1,
	}
	out := Plan(in)
	is.Equal(len(out.Unplaced), 0)
	is.Equal(len(out.Steps), 1)
	is.Equal(out.Steps[0].Action, ActionDrop)
	is.Equal(out.Steps[0].Model, "spare")
}
