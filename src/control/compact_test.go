package control

import (
	"testing"
	"time"
)

// Found in reading, in code that was not landed: a snapshot was begun only when there was nothing else
// to write. While a disk had a write to do at all times, none was, and the log grew for as long.
//
// Evidence: with writes of 20 ms and a change each 5 ms no snapshot was taken in 20 s.
func TestSnapshotsAreTakenWhileTheDiskIsAlwaysBusy(t *testing.T) {
	s := newSim(t, 1, "k1", "k2", "k3")
	for _, n := range s.nodes {
		n.wait = func() time.Duration { return 20 * time.Millisecond }
	}
	s.mustLead(5 * time.Second)
	for version := uint64(1); version <= 4000; version++ {
		s.document(version)
		s.run(simStep)
	}
	for name, n := range s.nodes {
		if kept := n.replica.core.LastIndex() - n.replica.snapshot; kept > 4*s.every {
			t.Errorf("%s keeps %d entries, a snapshot is due after %d", name, kept, s.every)
		}
	}
}
