package exchange

import (
	"testing"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/wire"
)

func TestDemandIsCountedOnceAndAddedUp(t *testing.T) {
	is := is.New(t)
	d := NewDemand()
	facts := RequestInfo{Model: "m", Adapter: "a1", PromptTokens: 100, OutputTokens: 20}
	d.Count("s", RequestInfo{}, false) // plain requests ask for no model
	d.Count("s", facts, false)
	d.Count("s", facts, false)
	d.Count("s", facts, true)
	select {
	case <-d.MissingCopy():
	default:
		t.Error("a missing copy is urgent")
	}
	first := d.Drain()
	is.Equal(first, []wire.Asked{{Service: "s", Model: "m", Adapter: "a1", Requests: 2, Tokens: 240, Missing: 1}})
	is.Equal(len(d.Drain()), 0)
	sum := NewDemand()
	sum.Add(first)
	sum.Add(first)
	is.Equal(sum.Drain(), []wire.Asked{{Service: "s", Model: "m", Adapter: "a1", Requests: 4, Tokens: 480, Missing: 2}})
	is.Equal(len(sum.Drain()), 0)
	select {
	case <-sum.MissingCopy():
	default:
		t.Error("a missing copy that others have counted is urgent")
	}
}
