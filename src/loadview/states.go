package loadview

import (
	"math"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
	"github.com/moorspool/moorspool/src/work"
)

const (
	// ToldBatchDelay is how long a gateway or control node collects loads that replicas told before
	// it reports them. A replica of a busy service tells its load some ten times a second, and
	// reports of sent prompts take the loads along.
	ToldBatchDelay = 20 * time.Millisecond
	// PaceTTL is how long a pace is used. Other work on the same machine changes it several times a
	// second.
	PaceTTL = 150 * time.Millisecond
	// streamTime is the mean time that a request occupies a slot: some 200 output tokens at 5 to 10
	// ms each. While nothing new is told, requests are expected to end at that rate.
	streamTime = 1500 * time.Millisecond
	// quietStateTTL is how long a state is kept of a replica of which nothing is reported. Its
	// requests have ended by then, and its factor is learned again from a few requests.
	quietStateTTL = time.Minute
	// maxStates is several times the number of replicas in the largest installation. Reports on
	// further ones are ignored.
	maxStates = 4096
	// maxSends bounds the sends remembered for each replica since it told its load. Older ones are
	// combined.
	maxSends = 32
	// maxReportedRequests bounds the requests of one report on a replica.
	maxReportedRequests = 1 << 10
	// maxReportedLoad bounds the values of a told load, and maxReportedAge its age.
	maxReportedLoad = 1 << 20
	maxReportedAge  = time.Hour
	// maxSpeedPermille bounds a ratio of observed to expected time, in thousandths.
	maxSpeedPermille = 100 * permille
)

// ReplicaState is the estimated load of a replica, from the reports of all gateways.
type ReplicaState struct {
	Running int
	Waiting int
	// Slots is 0 if the replica did not tell it.
	Slots int
	// Pace is how long work takes now as a multiple of the usual time, 0 if unknown.
	Pace float64
	// Factor is how long work takes at this replica relative to the mean replica, 1 if unknown.
	Factor float64
	// Told is set if the replica told its load, Age ago. Otherwise only the requests sent to it are
	// counted.
	Told bool
	Age  time.Duration
}

// States estimates the load of each replica from what replicas told in responses to any gateway and
// from the requests sent since. It is safe for concurrent use.
type States struct {
	mu       sync.Mutex
	replicas map[string]*replicaReports
	factors  *work.Factors
	delays   reportDelays
	own      map[string]*ownReport
	changed  wakeup.Flag
	// forwardable is raised when there are reports to forward.
	forwardable wakeup.Flag
}

// replicaReports are the reports on one replica.
type replicaReports struct {
	// load is the newest told load, and toldAt when it was told, zero if never.
	load   wire.ToldLoad
	toldAt time.Time
	// sends are the requests sent since, in the order of their reports.
	sends     []sends
	heardAt   time.Time
	usualPace UsualPace
}

// sends are requests that were sent at about the same time.
type sends struct {
	at    time.Time
	count float64
}

// NewStates returns states without replicas. They own the factors.
func NewStates(factors *work.Factors) *States {
	return &States{
		replicas:    map[string]*replicaReports{},
		factors:     factors,
		delays:      reportDelays{},
		own:         map[string]*ownReport{},
		changed:     wakeup.New(),
		forwardable: wakeup.New(),
	}
}

// Add adds a report. own is set for a gateway's report, which is forwarded to the other control
// nodes.
func (s *States) Add(now time.Time, report wire.SentReport, own bool) {
	if len(report.Replicas) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now.Add(-s.delays.delay(now, report.Node, report.AtMS))
	for i := range report.Replicas {
		s.addReplica(now, at, &report.Replicas[i], own)
	}
	s.changed.Raise()
	if own {
		s.forwardable.Raise()
	}
}

// addReplica adds the report on one replica that was made at a time; the lock is held.
func (s *States) addReplica(now, at time.Time, report *wire.ReplicaReport, own bool) {
	if !valid(report) {
		return
	}
	reports := s.replicas[report.Replica]
	if reports == nil {
		if len(s.replicas) >= maxStates {
			return
		}
		reports = &replicaReports{}
		s.replicas[report.Replica] = reports
	}
	reports.heardAt = now
	reports.addSends(at, report.Requests)
	if report.Load != nil {
		reports.addTold(at.Add(-time.Duration(report.Load.AgeMS)*time.Millisecond), *report.Load)
	}
	if report.Samples > 0 {
		s.factors.Add(now, report.Replica, float64(report.SpeedPermille)/permille, report.Samples)
	}
	if own {
		s.addOwn(at, report)
	}
}

// permille is the number of thousandths in one.
const permille = 1000

// valid reports whether the values of a report are plausible.
func valid(r *wire.ReplicaReport) bool {
	inRange := func(value int) bool { return value >= 0 && value <= maxReportedLoad }
	if r.Replica == "" || r.Requests < 0 || r.Requests > maxReportedRequests {
		return false
	}
	if r.Samples < 0 || r.Samples > maxReportedRequests || r.Samples > 0 && (r.SpeedPermille <= 0 || r.SpeedPermille > maxSpeedPermille) {
		return false
	}
	l := r.Load
	return l == nil || inRange(l.Running) && inRange(l.Waiting) && inRange(l.Slots) && inRange(l.PacePercent) &&
		l.AgeMS >= 0 && l.AgeMS <= maxReportedAge.Milliseconds()
}

// addSends adds requests that were sent at a time. The newest told load includes those sent before
// it.
func (r *replicaReports) addSends(at time.Time, count int) {
	if count == 0 || !at.After(r.toldAt) {
		return
	}
	if len(r.sends) == maxSends {
		r.sends[1].count += r.sends[0].count
		r.sends = append(r.sends[:0], r.sends[1:]...)
	}
	r.sends = append(r.sends, sends{at: at, count: float64(count)})
}

// addTold sets the load that the replica told at a time, unless a newer one is known.
func (r *replicaReports) addTold(at time.Time, load wire.ToldLoad) {
	if at.Before(r.toldAt) {
		return
	}
	r.load, r.toldAt = load, at
	r.usualPace.Note(at, float64(load.PacePercent)/percent)
	later := r.sends[:0]
	for _, sent := range r.sends {
		if sent.at.After(at) {
			later = append(later, sent)
		}
	}
	r.sends = later
}

// Remove drops a replica that has ended.
func (s *States) Remove(replica string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.replicas, replica)
	delete(s.own, replica)
	s.factors.Forget(replica)
}

// State returns the estimated load of a replica; found is false if nothing was reported of it.
func (s *States) State(now time.Time, replica string) (state ReplicaState, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reports := s.replicas[replica]
	if reports == nil {
		return ReplicaState{}, false
	}
	return s.state(now, replica, reports), true
}

// Slowness returns how long the work of a replica takes as a rule relative to the mean replica, 1 if
// that is unknown.
func (s *States) Slowness(now time.Time, replica string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	reports := s.replicas[replica]
	if reports == nil {
		return 1
	}
	return s.factors.Factor(now, replica) * reports.usualPace.Mean()
}

// state returns the estimated load of a replica; the lock is held.
func (s *States) state(now time.Time, replica string, r *replicaReports) ReplicaState {
	state := ReplicaState{Factor: s.factors.Factor(now, replica)}
	sent := 0.0
	for _, sends := range r.sends {
		sent += sends.count * unfinished(now.Sub(sends.at))
	}
	if r.toldAt.IsZero() {
		state.Running = round(sent)
		return state
	}
	state.Told, state.Age = true, max(now.Sub(r.toldAt), 0)
	remaining := unfinished(state.Age)
	state.Running = round(float64(r.load.Running)*remaining + sent)
	state.Waiting = round(float64(r.load.Waiting) * remaining)
	state.Slots = r.load.Slots
	if state.Age < PaceTTL {
		state.Pace = float64(r.load.PacePercent) / percent
	}
	return state
}

// percent is the number of hundredths in one.
const percent = 100

// unfinished returns the expected share of requests that are still in progress after a time.
func unfinished(elapsed time.Duration) float64 {
	return math.Exp(-float64(max(elapsed, 0)) / float64(streamTime))
}

func round(value float64) int { return int(math.Round(value)) }

// Packed returns the states of all replicas, packed, and drops those that were quiet for too long.
// busy is set if any replica has requests in progress.
func (s *States) Packed(now time.Time) (packed []byte, busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delays.expire(now)
	for replica, reports := range s.replicas {
		if now.Sub(reports.heardAt) > quietStateTTL {
			delete(s.replicas, replica)
			s.factors.Forget(replica)
			continue
		}
		state := s.state(now, replica, reports)
		busy = busy || state.Running+state.Waiting > 0
		packed = appendState(packed, Key(replica), &state)
	}
	return packed, busy
}

// Replicas returns the number of replicas with a state.
func (s *States) Replicas() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.replicas)
}

// Changed returns a channel that delivers when there were reports since it last did.
func (s *States) Changed() <-chan struct{} { return s.changed.Raised() }

// Forwardable returns a channel that delivers when there are reports that TakeOwn has not returned.
func (s *States) Forwardable() <-chan struct{} { return s.forwardable.Raised() }
