package resume

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start = time.Unix(1_800_000_000, 0)
	v1    = Origin{Service: "s", SoftwareVersion: "v1"}
	v2    = Origin{Service: "s", SoftwareVersion: "v2"}
)

func TestAnUnboundStreamMayBeBegunAnywhere(t *testing.T) {
	is := is.New(t)
	var b Binding
	is.True(b.Unbound())
	is.True(b.Allows(v1))
	is.True(b.Allows(Origin{}))
}

func TestABoundStreamGoesOnAtItsOriginOnly(t *testing.T) {
	is := is.New(t)
	var b Binding
	b.Bind(start, v1, Written)
	b.Bind(start, v2, Written)
	is.True(b.Allows(v1))
	is.True(!b.Allows(v2))
	is.True(!b.Allows(Origin{Service: "t", SoftwareVersion: "v1"}))
	is.True(!b.Allows(Origin{Service: "s"}))
	origin, known := b.Origin()
	is.True(known)
	is.Equal(origin, v1)
}

func TestAStreamOfAnUnknownOriginGoesOnNowhere(t *testing.T) {
	is := is.New(t)
	var b Binding
	b.Bind(start, Origin{Service: "s"}, Written)
	is.True(b.Unresolved())
	is.True(!b.Allows(Origin{Service: "s"}))
	is.True(!b.Allows(v1))
}

func TestARevokedBindingAllowsNothing(t *testing.T) {
	is := is.New(t)
	var b Binding
	b.Revoke()
	is.True(b.Unbound())
	b.Bind(start, v1, Written)
	b.Revoke()
	is.True(!b.Allows(v1))
	_, known := b.Origin()
	is.True(!known)
}

func TestARecordIsFoundForItsRetention(t *testing.T) {
	is := is.New(t)
	table := NewTable(10)
	key := NewKey("a", "r", "one")
	table.Put(start, key, v1)
	origin, age, known := table.Get(start.Add(Retention), key)
	is.True(known)
	is.Equal(origin, v1)
	is.Equal(age, Retention)
	_, _, known = table.Get(start.Add(2*Retention), key)
	is.True(!known)
}

func TestARenewedRecordLastsLonger(t *testing.T) {
	is := is.New(t)
	table := NewTable(10)
	key := NewKey("a", "r", "one")
	for i := range 10 {
		table.Put(start.Add(time.Duration(i)*Retention), key, v1)
	}
	_, _, known := table.Get(start.Add(10*Retention), key)
	is.True(known)
}

func TestAnAttemptOfTwoOriginsHasNone(t *testing.T) {
	is := is.New(t)
	table := NewTable(10)
	key := NewKey("a", "r", "one")
	for _, origin := range []Origin{v1, v2, v1} {
		table.Put(start, key, origin)
	}
	_, _, known := table.Get(start, key)
	is.True(!known)
}

func TestATableStaysWithinItsLimit(t *testing.T) {
	is := is.New(t)
	const limit = 100
	table := NewTable(limit)
	for i := range 10 * limit {
		table.Put(start, NewKey("a", "r", time.Duration(i).String()), v1)
	}
	is.True(table.Len() <= 2*limit)
	_, _, known := table.Get(start, NewKey("a", "r", time.Duration(10*limit-1).String()))
	is.True(known)
}

func TestKeysSurviveTheirEncoding(t *testing.T) {
	is := is.New(t)
	key := NewKey("a", "r", "one")
	text, err := key.MarshalText()
	is.NoErr(err)
	var decoded Key
	is.NoErr(decoded.UnmarshalText(text))
	is.Equal(decoded, key)
	is.True(decoded.UnmarshalText(text[1:]) != nil)
	is.True(decoded.UnmarshalText([]byte("no base64!")) != nil)
}

func TestSoftwareThatContradictsItselfIsNotKnown(t *testing.T) {
	is := is.New(t)
	var s Software
	is.Equal(s.Version(), "")
	s.Learn("v1")
	s.Learn("")
	is.Equal(s.Version(), "v1")
	s.Learn("v2")
	is.Equal(s.Version(), "")
	s.Learn("v1")
	is.Equal(s.Version(), "")
}

func TestASoleVersionIsKnownOnceItHasLasted(t *testing.T) {
	is := is.New(t)
	var c Census
	sole := func(at time.Duration) string {
		version, _, _ := c.Sole(start.Add(at))
		return version
	}
	is.Equal(sole(0), "")
	c.Add(start, "v1")
	c.Add(start.Add(SettleTime/2), "v1")
	is.Equal(sole(SettleTime-1), "")
	is.Equal(sole(SettleTime), "v1")
	c.Add(start.Add(2*SettleTime), "v2")
	is.Equal(sole(3*SettleTime), "")
	c.Remove(start.Add(3*SettleTime), "v2")
	is.Equal(sole(4*SettleTime-1), "")
	is.Equal(sole(4*SettleTime), "v1")
}

func TestAnUnknownVersionIsNoSoleVersion(t *testing.T) {
	is := is.New(t)
	var c Census
	c.Add(start, "")
	_, _, sole := c.Sole(start.Add(2 * SettleTime))
	is.True(!sole)
	c.Add(start, "v1")
	_, _, sole = c.Sole(start.Add(2 * SettleTime))
	is.True(!sole)
}

func BenchmarkRecordAStream(b *testing.B) {
	table := NewTable(1 << 13)
	for i := 0; b.Loop(); i++ {
		table.Put(start.Add(time.Duration(i)*time.Millisecond), NewKey("account", "route", strconv.Itoa(i)), v1)
	}
}

// Control nodes that were killed together may not know any more that another version began streams.
func TestASoleVersionHasLastedLongerThanAStream(t *testing.T) {
	is := is.New(t)
	var c Census
	c.Add(start, "v2")
	_, _, sole := c.Sole(start.Add(Retention - time.Millisecond))
	is.True(!sole) // a stream of a version that was forgotten may still last
	version, _, sole := c.Sole(start.Add(Retention))
	is.True(sole)
	is.Equal(version, "v2")
}

func TestVersionsCountEachIncarnationOnce(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(v *Versions, now time.Time)
		want   string
	}{
		{"nothing changes", func(*Versions, time.Time) {}, "v1"},
		{"reported again", func(v *Versions, now time.Time) { v.List(now, "a", "s", "v1") }, "v1"},
		{"reported by an earlier build", func(v *Versions, now time.Time) { v.List(now, "a", "s", "") }, "v1"},
		{"one more of the version", func(v *Versions, now time.Time) { v.List(now, "b", "s", "v1") }, "v1"},
		{"another service", func(v *Versions, now time.Time) { v.List(now, "b", "t", "v2") }, "v1"},
		{"another version", func(v *Versions, now time.Time) { v.List(now, "b", "s", "v2") }, ""},
		{"a version that is not known", func(v *Versions, now time.Time) { v.List(now, "b", "s", "") }, ""},
		{"contradictory versions", func(v *Versions, now time.Time) { v.List(now, "a", "s", "v2") }, ""},
		{"the last one is gone", func(v *Versions, now time.Time) { v.Remove(now, "a") }, ""},
		{"one that was not counted is gone", func(v *Versions, now time.Time) { v.Remove(now, "b") }, "v1"},
		{"another version came and went", func(v *Versions, now time.Time) {
			v.List(now, "b", "s", "v2")
			v.Remove(now, "b")
		}, ""},
		{"it has moved to another service", func(v *Versions, now time.Time) { v.List(now, "a", "t", "v1") }, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v, now := NewVersions(), time.Unix(1_800_000_000, 0)
			v.List(now, "a", "s", "v1")
			now = now.Add(SettleTime)
			c.change(v, now)
			got, _, sole := v.Sole(now, "s")
			is.Equal(got, c.want)
			is.Equal(sole, c.want != "")
		})
	}
}

func TestVersionsSettle(t *testing.T) {
	is := is.New(t)
	v, now := NewVersions(), time.Unix(1_800_000_000, 0)
	_, _, sole := v.Sole(now, "s")
	is.True(!sole)
	v.List(now, "a", "s", "")
	v.List(now.Add(time.Second), "a", "s", "v1") // told later
	_, _, sole = v.Sole(now.Add(SettleTime), "s")
	is.True(!sole)
	version, age, sole := v.Sole(now.Add(SettleTime+time.Second), "s")
	is.True(sole)
	is.Equal(version, "v1")
	is.Equal(age, SettleTime)
}
