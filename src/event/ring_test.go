package event

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLongTextsOfEventsAreCut: each event kept what others had sent, however long.
func TestLongTextsOfEventsAreCut(t *testing.T) {
	is := is.New(t)
	ring := NewRing("g", 4, nil, time.Now)
	long := strings.Repeat("é", 1<<20)
	ring.Add(Event{Kind: RequestRefused, Request: "short", Model: long, Host: long, Zone: long, Reason: long, Rejected: long})
	events, _ := ring.Since(0, "short")
	is.Equal(len(events), 1)
	got := events[0]
	is.Equal(len(got.Reason)+len(got.Rejected), 2*maxReasonBytes)
	is.Equal(len(got.Model)+len(got.Host)+len(got.Zone), 3*maxNameBytes)
	is.True(strings.HasPrefix(long, got.Reason))
}
