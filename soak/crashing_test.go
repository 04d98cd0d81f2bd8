package main

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOnlyLateFaultFreeCrashesCount checks that crashes up to contactTime after the third, and those
// during a fault, are not counted.
func TestOnlyLateFaultFreeCrashesCount(t *testing.T) {
	is := is.New(t)
	d := crashCounts{threshold: deadlyContentCrashes}
	now := time.Unix(1_800_000_000, 0)
	for range 5 {
		is.Equal(d.record(now, true), 0)
	}
	now = now.Add(contactTime + time.Second)
	is.Equal(d.record(now, false), 0)
	for i := 1; i <= maxLateCrashes+1; i++ {
		is.Equal(d.record(now, true), i)
	}
}
