package exchange

import (
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
)

// minSpeedRatio and maxSpeedRatio bound a ratio of observed to expected time. Beyond them the
// expectation was wrong, not the replica.
const (
	minSpeedRatio = 0.1
	maxSpeedRatio = 10
)

// loadReports collects what this gateway learns of replicas of engines with small batches until it
// is reported to a control node. It is safe for concurrent use.
type loadReports struct {
	mu       sync.Mutex
	replicas map[string]*loadReport
	told     wakeup.Flag
}

// loadReport is what was learned of one replica since the last report.
type loadReport struct {
	requests int
	load     Load
	toldAt   time.Time
	// ratioSum is the sum of the ratios of samples.
	ratioSum float64
	samples  int
}

func newLoadReports() *loadReports {
	return &loadReports{replicas: map[string]*loadReport{}, told: wakeup.New()}
}

// update changes the report on a replica.
func (r *loadReports) update(replica string, change func(*loadReport)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.replicas[replica]
	if report == nil {
		report = &loadReport{}
		r.replicas[replica] = report
	}
	change(report)
}

func (r *loadReports) drain(now time.Time) []wire.ReplicaReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var reports []wire.ReplicaReport
	for replica, report := range r.replicas {
		reports = append(reports, report.encode(now, replica))
	}
	clear(r.replicas)
	return reports
}

func (r *loadReport) encode(now time.Time, replica string) wire.ReplicaReport {
	encoded := wire.ReplicaReport{Replica: replica, Requests: r.requests, Samples: r.samples}
	if r.samples > 0 {
		encoded.SpeedPermille = int(r.ratioSum / float64(r.samples) * 1000)
	}
	if r.load.Known {
		encoded.Load = &wire.ToldLoad{
			Running:     r.load.Running,
			Waiting:     r.load.Waiting,
			Slots:       r.load.Slots,
			PacePercent: int(r.load.Pace * 100),
			AgeMS:       max(now.Sub(r.toldAt), 0).Milliseconds(),
		}
	}
	return encoded
}

// LoadsTold returns a channel that receives a value when replicas told loads that DrainPrompts has
// not returned.
func (f *Fleet) LoadsTold() <-chan struct{} { return f.loadReports.told.Raised() }

// ObserveSpeed adds a sample of a replica's speed: the ratio of observed to expected time of a
// request. It is reported with the next prompt or load.
func (f *Fleet) ObserveSpeed(p *Peer, ratio float64) {
	// The comparison is false for NaN.
	if !f.sharesLoad(p.service) || !(ratio > 0) {
		return
	}
	f.loadReports.update(p.id, func(r *loadReport) {
		r.ratioSum += min(max(ratio, minSpeedRatio), maxSpeedRatio)
		r.samples++
	})
}

// reportSent adds a sent request to the next report.
func (f *Fleet) reportSent(now time.Time, p *Peer) {
	if !f.sharesLoad(p.service) {
		return
	}
	p.noteSent(now)
	f.loadReports.update(p.id, func(r *loadReport) { r.requests++ })
	f.loadView.noteRequest(now)
}

// reportLoad adds a load that a replica told to the next report.
func (f *Fleet) reportLoad(p *Peer, load Load) {
	if !f.sharesLoad(p.service) {
		return
	}
	f.loadReports.update(p.id, func(r *loadReport) { r.load, r.toldAt = load, f.bootNow() })
	f.loadReports.told.Raise()
}

// setSmallBatches sets which services have engines with small batches.
func (f *Fleet) setSmallBatches(table *catalog.Table) {
	small := map[string]bool{}
	for i := range table.Document().Services {
		if service := &table.Document().Services[i]; service.Engine.SmallBatch() {
			small[service.Name] = true
		}
	}
	f.smallBatches.Store(&small)
}

// isSmallBatch reports whether a service has engines with small batches.
func (f *Fleet) isSmallBatch(service string) bool {
	small := f.smallBatches.Load()
	return small != nil && (*small)[service]
}

// sharesLoad reports whether gateways share the loads of the replicas of a service: those of engines
// with small batches that tell their load in responses.
func (f *Fleet) sharesLoad(service string) bool {
	return f.isSmallBatch(service) && f.loadReporters.has(service)
}
