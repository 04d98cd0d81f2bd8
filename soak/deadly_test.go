package main

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEndsAreCountedFromTheContactTimeOn: those up to it and those in trouble don't count.
func TestEndsAreCountedFromTheContactTimeOn(t *testing.T) {
	is := is.New(t)
	var d deadlyEnds
	now := time.Unix(1_800_000_000, 0)
	for range 5 {
		is.Equal(d.end(now, true), 0)
	}
	now = now.Add(contactTime + time.Second)
	is.Equal(d.end(now, false), 0)
	for i := 1; i <= deadlyAllowed+1; i++ {
		is.Equal(d.end(now, true), i)
	}
}
