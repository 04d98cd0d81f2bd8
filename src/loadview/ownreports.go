package loadview

import (
	"time"

	"github.com/moorspool/moorspool/src/wire"
)

// ownReport combines the reports of this node's gateways on one replica until they are forwarded.
type ownReport struct {
	requests int
	load     *wire.ToldLoad
	toldAt   time.Time
	// ratioSum is the sum of the speed samples' ratios, in thousandths.
	ratioSum int
	samples  int
}

// addOwn adds a report that was made at a time to those to be forwarded; the lock is held.
func (s *States) addOwn(at time.Time, report *wire.ReplicaReport) {
	own := s.own[report.Replica]
	if own == nil {
		own = &ownReport{}
		s.own[report.Replica] = own
	}
	own.requests = min(own.requests+report.Requests, maxReportedRequests)
	own.ratioSum += report.SpeedPermille * report.Samples
	own.samples += report.Samples
	if report.Load == nil {
		return
	}
	toldAt := at.Add(-time.Duration(report.Load.AgeMS) * time.Millisecond)
	if own.load == nil || !toldAt.Before(own.toldAt) {
		load := *report.Load
		own.load, own.toldAt = &load, toldAt
	}
}

// TakeOwn returns the reports to forward to the other control nodes, each of them once.
func (s *States) TakeOwn(now time.Time) []wire.ReplicaReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports []wire.ReplicaReport
	for replica, own := range s.own {
		report := wire.ReplicaReport{Replica: replica, Requests: own.requests, Load: own.load, Samples: own.samples}
		if own.samples > 0 {
			report.SpeedPermille = own.ratioSum / own.samples
		}
		if own.load != nil {
			own.load.AgeMS = max(now.Sub(own.toldAt), 0).Milliseconds()
		}
		reports = append(reports, report)
	}
	clear(s.own)
	return reports
}
