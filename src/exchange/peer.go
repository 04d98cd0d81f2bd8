package exchange

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/moorspool/moorspool/src/loadview"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/resume"
	"github.com/moorspool/moorspool/src/wire"
)

// Times for ejecting a failed replica and for using reports, and the weight of failures.
const (
	// minEjection is the duration of the first ejection. It doubles with each further one until a
	// request succeeds, up to maxEjection.
	minEjection = 400 * time.Millisecond
	maxEjection = 4 * time.Second
	// replicaLoadTTL is how long the load reported by a replica is used.
	replicaLoadTTL = 500 * time.Millisecond
	// otherGatewaysLoadTTL is how long the requests in progress at other gateways are used. Most
	// requests to a busy model take about as long.
	otherGatewaysLoadTTL = time.Second
	// missingCopyTTL is how long a replica's report that it lacks a copy is used.
	missingCopyTTL = 400 * time.Millisecond
	// failureWeight is the weight of the latest result in the failure share.
	failureWeight = 0.15
)

// Peer is one incarnation of a replica as known to this gateway. It is safe for concurrent use.
type Peer struct {
	id           string
	service      string
	pool         *pool
	backoffState *backoffState
	// later is a later start with the replica's name and address, nil if none is known. unlisted is set once
	// the replica is no longer listed.
	later    atomic.Pointer[Peer]
	unlisted atomic.Bool
	// listedLeaving is set while control nodes list the replica as draining or gone.
	listedLeaving atomic.Bool
	// brokenAtBackoff is the number of broken connections when the replica last asked for a backoff,
	// brokenAtLimit when it last named a limit.
	brokenAtBackoff, brokenAtLimit atomic.Int64
	// coldUntil is until when the replica is cold. nextPermitAt is the earliest time at which it
	// may get a request by the issuer's last reply. Both are in nanoseconds on the clock that
	// counts while the host is suspended, 0 if not set.
	coldUntil    atomic.Int64
	nextPermitAt atomic.Int64
	// coldReply is what a response last said of that, nil if none did.
	coldReply atomic.Pointer[coldReply]
	// sharedLimit is the rate limit that the replica named.
	sharedLimit *sharedLimit
	// rejections is what the last answer said of how many rejections the replica bears, nil if no replica
	// ever said anything of it.
	rejections atomic.Pointer[rejectionAnswer]

	// counted is set while the replica is counted by its software version, countedVersion. The lock of
	// the fleet guards both.
	counted        bool
	countedVersion string

	// heardAt is when the peer last sent something, in nanoseconds since 1970, 0 for never. ejectedSilent is set
	// while it is ejected since a dial failed while it sent nothing.
	heardAt       atomic.Int64
	ejectedSilent atomic.Bool
	// probes shares the dials that look for signs of its loss.
	probes singleflight.Group

	mu     sync.Mutex
	record registry.Record
	// software is what the incarnation reported of its software.
	software resume.Software
	// begun holds the streams that it has lately begun, and doubtedFrom since when a later start may have
	// written what is attributed to it, the zero time if none may.
	begun       []begunStream
	doubtedFrom time.Time
	// refusedDial is set after a dial was refused: what answers at the address later may be another start.
	// askingStart is set while it is asked.
	refusedDial bool
	askingStart bool
	// running is the number of this gateway's requests in progress. backlog is the expected prefill
	// time of those prompts among them that are not known to be read yet.
	running int
	backlog time.Duration
	// prefillDoneAt is when the replica is expected to have prefilled the prompts of all gateways.
	// It is used for replicas that report their load, which does not include the prefill backlog.
	prefillDoneAt time.Time
	// reported is what this gateway last reported to the others. otherGateways is the load of the
	// other gateways as of otherGatewaysAt.
	reported        wire.ReplicaLoad
	otherGateways   wire.ReplicaLoad
	otherGatewaysAt time.Time
	load            Load
	loadAt          time.Time
	// sentSinceLoad counts this gateway's requests sent after the load was reported.
	sentSinceLoad int
	// shared is the replica's state as told by a control node.
	shared   sharedState
	failures int
	ejected  time.Time
	// missingCopies holds the copies that the replica reported not to have, with the time until
	// which this overrides the control nodes' list.
	missingCopies map[copyKey]time.Time
	// failureShare is the recent share of failed requests.
	failureShare float64
	parts        partCache
}

func newPeer(record registry.Record, dial dialFunc) *Peer {
	p := &Peer{id: record.ID, service: record.Service, record: record, pool: newPool(record.Address, dial), backoffState: &backoffState{}, sharedLimit: &sharedLimit{}}
	p.software.Learn(record.SoftwareVersion)
	return p
}

// ID returns the ID of the incarnation.
func (p *Peer) ID() string { return p.id }

// name returns the replica's name for itself.
func (p *Peer) name() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record.ReplicaName()
}

// slots returns how many requests the replica runs at once.
func (p *Peer) slots() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.record.Slots, 1)
}

// leaving reports whether the replica announced to a control node or in a response that it is
// leaving.
func (p *Peer) leaving() bool {
	if p.backoffState.isLeaving() {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record.Leaving()
}

// zone returns the replica's availability zone.
func (p *Peer) zone() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record.Zone
}

// startRequest counts a request as in progress; prompt is its expected prefill time.
func (p *Peer) startRequest(prompt time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running++
	p.backlog += prompt
	p.sentSinceLoad++
}

// read removes the prefill time of a prompt from the gateway's own backlog. It is called when the
// first event of the request has arrived, or when the attempt ends without one.
func (p *Peer) read(prompt time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backlog -= prompt
}

// report returns this gateway's requests in progress, and whether there are any.
func (p *Peer) report() (wire.ReplicaLoad, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reported = wire.ReplicaLoad{Replica: p.id, Running: p.running, UnreadMS: int(p.backlog.Milliseconds())}
	return p.reported, p.running > 0
}

// setTotal sets the load of all gateways. The load that this gateway last reported is subtracted
// from it.
func (p *Peer) setTotal(now time.Time, total wire.ReplicaLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.otherGateways = wire.ReplicaLoad{
		Running:  max(total.Running-p.reported.Running, 0),
		UnreadMS: max(total.UnreadMS-p.reported.UnreadMS, 0),
	}
	p.otherGatewaysAt = now
}

// addTotalBacklog adds the prefill time of a prompt that is sent now to the estimated backlog of
// all gateways. The other gateways add it in the same way.
func (p *Peer) addTotalBacklog(now time.Time, prompt time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prefillDoneAt = loadview.After(now, p.prefillDoneAt, prompt)
}

// setTotalBacklog sets the estimated backlog of all gateways.
func (p *Peer) setTotalBacklog(now time.Time, backlog time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prefillDoneAt = now.Add(backlog)
}

// finishRequest counts a request as finished.
func (p *Peer) finishRequest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

// updateLoad sets the load that the replica reported.
func (p *Peer) updateLoad(now time.Time, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load = load
	p.loadAt = now
	p.sentSinceLoad = 0
}

// succeeded records a successful request.
func (p *Peer) succeeded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = 0
	p.ejected = time.Time{}
	p.failureShare *= 1 - failureWeight
}

// failed records a failed request. An unreachable replica is ejected for a while; failed returns
// for how long, 0 if it is not ejected.
func (p *Peer) failed(now time.Time, unreachable bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failureShare += (1 - p.failureShare) * failureWeight
	if !unreachable {
		return 0
	}
	pause := min(minEjection<<min(p.failures, 8), maxEjection)
	p.failures++
	p.ejected = now.Add(pause)
	p.ejectedSilent.Store(false)
	return pause
}

// notConnected records that the peer could not be connected to, and returns for how long it is ejected.
func (p *Peer) notConnected(now time.Time) time.Duration {
	pause := p.failed(now, true)
	p.ejectedSilent.Store(now.Sub(time.Unix(0, p.heardAt.Load())) >= reachTimeout)
	return pause
}

// noteHeard records that the peer has sent something. If it was ejected for its silence, it no longer is. One
// whose open connections live on while new ones fail stays ejected.
func (p *Peer) noteHeard(now time.Time) {
	p.heardAt.Store(now.UnixNano())
	if !p.ejectedSilent.CompareAndSwap(true, false) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = 0
	p.ejected = time.Time{}
}

// noteMissingCopy records that the replica reported not to have a copy.
func (p *Peer) noteMissingCopy(now time.Time, model, adapter string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.missingCopies == nil {
		p.missingCopies = map[copyKey]time.Time{}
	}
	p.missingCopies[copyKey{model: model, adapter: adapter}] = now.Add(missingCopyTTL)
}

// lacksCopy reports whether the replica recently reported not to have a copy.
func (p *Peer) lacksCopy(now time.Time, key copyKey) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	until, found := p.missingCopies[key]
	if found && !now.Before(until) {
		delete(p.missingCopies, key)
		return false
	}
	return found
}

// loadEstimate is the state of a peer on which a choice is based.
type loadEstimate struct {
	running int
	waiting int
	slots   int
	// backlog is the expected prefill time of the prompts that were sent to the replica.
	backlog      time.Duration
	failureShare float64
	loadAge      time.Duration
	ejected      bool
	// pace is how long work takes now as a multiple of the usual time, and factor how long it takes
	// relative to the mean replica of the service. Both are 1 if unknown.
	pace   float64
	factor float64
	// usual is the mean of the paces that the replica told.
	usual float64
}

// loadEstimate estimates the peer's load from its last report and the requests sent since, or from
// the known requests of all gateways if that is more. If a control node told the replica's state, the
// estimate is based on that or on a newer report to this gateway.
func (p *Peer) loadEstimate(now time.Time) loadEstimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := loadEstimate{running: p.running, slots: max(p.record.Slots, 1), backlog: p.backlog, failureShare: p.failureShare, ejected: now.Before(p.ejected), loadAge: -1, pace: 1, factor: 1, usual: 1}
	if age := now.Sub(p.otherGatewaysAt); age < otherGatewaysLoadTTL {
		o.running += p.otherGateways.Running
		o.backlog += time.Duration(p.otherGateways.UnreadMS) * time.Millisecond
		o.loadAge = age
	}
	o.backlog = max(o.backlog, p.prefillDoneAt.Sub(now))
	if p.load.Known && (o.loadAge < 0 || now.Sub(p.loadAt) < o.loadAge) {
		o.loadAge = now.Sub(p.loadAt)
	}
	if p.load.Known && now.Sub(p.loadAt) < replicaLoadTTL {
		o.waiting = p.load.Waiting
		o.running = max(o.running, p.load.Running+p.sentSinceLoad)
		if p.load.Slots > 0 {
			o.slots = p.load.Slots
		}
	}
	p.applySharedState(now, &o)
	return o
}
