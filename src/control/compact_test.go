package control

import (
	"testing"
	"time"
)

// A snapshot must also be taken while the disk always has something else to write; otherwise the
// log grows without bound. When snapshots were only started on an idle disk, none was taken in 20 s
// with writes of 20 ms and a change every 5 ms.
func TestSnapshotsAreTakenWhileTheDiskIsAlwaysBusy(t *testing.T) {
	s := newSim(t, 1, "k1", "k2", "k3")
	for _, n := range s.nodes {
		n.writeDuration = func() time.Duration { return 20 * time.Millisecond }
	}
	s.requireLeader(5 * time.Second)
	for version := uint64(1); version <= 4000; version++ {
		s.document(version)
		s.run(simStep)
	}
	for name, n := range s.nodes {
		if kept := n.replica.core.LastIndex() - n.replica.snapshot; kept > 4*s.entryLimit {
			t.Errorf("%s keeps %d entries, a snapshot is due after %d", name, kept, s.entryLimit)
		}
	}
}
