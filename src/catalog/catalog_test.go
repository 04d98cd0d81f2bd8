package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func validDocument() Document {
	return Document{
		Version:  1,
		Services: []Service{{Name: "s"}, {Name: "t"}},
		Routes: []Route{
			{Name: "a", Host: "a.example", Prefix: "/x/", Timeout: time.Second, Splits: []Split{{Service: "s", Weight: 1}}},
			{Name: "b", Host: "a.example", Prefix: "/x/y/", Timeout: time.Second, Splits: []Split{{Service: "s", Weight: 9}, {Service: "t", Weight: 1}}},
		},
	}
}

func TestValidDocumentHasNoFindings(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Check(validDocument())), 0)
}

func TestEveryFaultIsFoundWithItsPlace(t *testing.T) {
	faults := map[string]func(*Document){
		"unknown service":  func(d *Document) { d.Routes[0].Splits[0].Service = "nobody" },
		"same place":       func(d *Document) { d.Routes[1].Prefix = "/x/" },
		"no weight":        func(d *Document) { d.Routes[0].Splits[0].Weight = 0 },
		"negative weight":  func(d *Document) { d.Routes[1].Splits[1].Weight = -1 },
		"no split":         func(d *Document) { d.Routes[0].Splits = nil },
		"no time-out":      func(d *Document) { d.Routes[0].Timeout = 0 },
		"bare prefix":      func(d *Document) { d.Routes[0].Prefix = "x" },
		"service twice":    func(d *Document) { d.Services[1].Name = "s" },
		"nameless service": func(d *Document) { d.Services[1].Name = "" },
	}
	for name, addFault := range faults {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := validDocument()
			addFault(&d)
			findings := Check(d)
			is.True(len(findings) > 0)
			is.True(findings[0].Location != "")
			is.True(findings.Error() != "")
		})
	}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	is := is.New(t)
	table := NewTable(validDocument())
	is.Equal(table.RouteFor("A.example:80", "/x/y/z").Name, "b")
	is.Equal(table.RouteFor("a.example", "/x/z").Name, "a")
	is.True(table.RouteFor("a.example", "/x") == nil)
	is.True(table.RouteFor("b.example", "/x/") == nil)
	is.Equal(table.Service("t").Name, "t")
	is.True(table.Service("u") == nil)
}

func TestPickFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 5).Draw(t, "weights")
		weights[0]++
		route := Route{}
		total := 0
		for i, weight := range weights {
			route.Splits = append(route.Splits, Split{Service: string(rune('a' + i)), Weight: weight})
			total += weight
		}
		at := rapid.IntRange(0, total-1).Draw(t, "at")
		got := route.Pick((float64(at) + 0.5) / float64(total))
		for i, weight := range weights {
			if at < weight {
				if got != string(rune('a'+i)) {
					t.Fatalf("draw %d of %d fell on %s", at, total, got)
				}
				return
			}
			at -= weight
		}
	})
}

func TestOnlySafeAndResumableMayRepeat(t *testing.T) {
	is := is.New(t)
	is.True(Route{Kind: Safe}.Idempotent())
	is.True(!Route{Kind: Unsafe}.Idempotent())
	is.True(!Route{Kind: Unsafe, Resumable: true}.Idempotent())
	is.True(!Route{Kind: Streaming}.Idempotent())
	is.True(Route{Kind: Streaming, Resumable: true}.Idempotent())
}
