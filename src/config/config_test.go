package config

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestAllFindingsAreReportedWithTheirLocation(t *testing.T) {
	text := `kind: model
name: Big
memory: 12
version: v1
---
kind: model
name: m
memory: 200GiB
version: v1
colour: red
---
kind: adapter
name: a
model: nobody
memory: 1GiB
---
kind: hat
name: h
`
	sources, findings := Parse("f.yaml", []byte(text))
	findings = append(findings, CheckSources(sources)...)
	all := findings.Error()
	for _, want := range []string{
		`f.yaml:3:9`,
		`not an amount of memory such as 14GiB`,
		`f.yaml:10:1`,
		`f.yaml:14:8: model "nobody" does not exist`,
		`f.yaml:17:7: kind "hat" is unknown`,
	} {
		if !strings.Contains(all, want) {
			t.Errorf("no finding has %q in:\n%s", want, all)
		}
	}
}

func pool(replicas int) Object {
	return Object{Key: Key{KindPool, "p"}, Pool: &Pool{Zones: []PoolZone{{Zone: "z", Replicas: replicas}}, Accelerators: 1, Memory: 10 * GiB}}
}

func model(name string, size Bytes) Object {
	return Object{Key: Key{KindModel, name}, Model: &Model{Memory: size, Version: "v1"}}
}

func TestConfigurationExceedingMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Check(NewSet(Revision{}, []Object{pool(2), model("a", 9*GiB), model("b", 9*GiB)}), nil)), 0)
	findings := Check(NewSet(Revision{}, []Object{pool(1), model("a", 9*GiB), model("b", 9*GiB)}), nil)
	is.Equal(len(findings), 1)
	is.True(strings.Contains(findings.Error(), "need 18GiB to be resident once, but the accelerators of z have 10GiB"))
	findings = Check(NewSet(Revision{}, []Object{pool(9), model("a", 11*GiB)}), nil)
	is.True(strings.Contains(findings.Error(), "takes 11GiB"))
}

func TestSetIgnoresOlderUpdatesAndGaps(t *testing.T) {
	is := is.New(t)
	first := NewSet(Revision{Term: 2, Index: 10}, []Object{model("a", GiB)})
	for _, update := range []Update{
		{Full: true, To: Revision{Term: 2, Index: 9}},
		{Full: true, To: Revision{Term: 1, Index: 99}},
		{From: Revision{Term: 2, Index: 11}, To: Revision{Term: 2, Index: 12}}, // skips 11
	} {
		same, moved := first.Apply(update)
		is.True(!moved)
		is.Equal(same, first)
	}
	next, moved := first.Apply(Update{From: Revision{Term: 2, Index: 10}, To: Revision{Term: 3, Index: 11}, Put: []Object{model("b", GiB)}, Delete: []Key{{KindModel, "a"}}})
	is.True(moved)
	is.Equal(next.ModelNames(), []string{"b"})
}

func TestNamesAreResolvedThroughOneLabel(t *testing.T) {
	is := is.New(t)
	set := NewSet(Revision{}, []Object{
		model("m", GiB),
		{Key: Key{KindAdapter, "a"}, Adapter: &Adapter{Model: "m", Memory: 1}},
		{Key: Key{KindLabel, "l"}, Label: &Label{PointsTo: "a"}},
	})
	for name, want := range map[string]Resolved{"m": {model: "m"}, "a": {model: "m", adapter: "a"}, "l": {model: "m", adapter: "a"}} {
		got, found := set.Resolve(name)
		is.True(found)
		is.Equal(got, want)
	}
	_, found := set.Resolve("x")
	is.True(!found)
}

func FuzzParse(f *testing.F) {
	f.Add("kind: model\nname: m\nmemory: 1GiB\nversion: v1\n")
	f.Add("kind: pool\nzones: [{zone: z, replicas: 1}]\n---\n- [")
	f.Fuzz(func(t *testing.T, text string) {
		sources, findings := Parse("f", []byte(text))
		for _, finding := range append(findings, CheckSources(sources)...) {
			if finding.Message == "" {
				t.Error("a finding says nothing")
			}
		}
	})
}
