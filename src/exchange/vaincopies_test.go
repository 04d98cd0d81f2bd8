package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
)

func TestFewCopiesAreMadeOfAServiceWhoseRestsProveNothing(t *testing.T) {
	is := is.New(t)
	var v vainCopies
	now := time.Unix(1, 0)
	for range maxVainCopies {
		is.True(v.mayCopy(now, "s"))
		v.note(now, "s", false)
	}
	is.True(!v.mayCopy(now, "s"))
	is.True(v.mayCopy(now, "t"))
	now = now.Add(vainCopyInterval)
	is.True(v.mayCopy(now, "s"))
	is.True(!v.mayCopy(now, "s")) // one of those that find out
	v.note(now, "s", true)
	is.True(v.mayCopy(now, "s"))
	v.note(now, "s", false)
	is.True(v.mayCopy(now, "s"))
}

// Each stream of a service that frames none cost a copy of its memory for nothing.
func TestAServiceThatNeverFramesIsNotCopiedForEachStream(t *testing.T) {
	is := is.New(t)
	s := newCopySite(t, route(catalog.Streaming, 1))
	s.source = func(a arrival) int { return writeEvents(a, 1, 2) }
	s.rest = unframed(200, "", false)
	for range maxVainCopies + 5 {
		is.True(s.ask("HTTP/1.1").err != nil)
	}
	copies := 0
	for _, step := range s.taken() {
		if step == "copy" {
			copies++
		}
	}
	is.True(copies >= maxVainCopies && copies <= maxVainCopies+1)
}
