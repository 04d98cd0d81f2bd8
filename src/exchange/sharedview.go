package exchange

import (
	"fmt"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/loadview"
)

const (
	// loadViewTTL is how long the state of a replica is used that a control node sent. Control
	// nodes send states several times in this time while any replica is busy.
	loadViewTTL = time.Second
	// viewDelay is how long before the receipt of a view this gateway's requests may be missing in
	// it: until they are reported, and from the computation of the view to its receipt.
	viewDelay = 30 * time.Millisecond
	// maxRecentSends bounds the remembered times of own requests to one replica.
	maxRecentSends = 64
)

// sharedState is the state of a replica as last told by a control node.
type sharedState struct {
	state loadview.ReplicaState
	// receivedAt is when the state was received, zero if never. toldAt is when the replica told the
	// load that it is based on, zero if it told none.
	receivedAt time.Time
	toldAt     time.Time
	// recentSends are the times of this gateway's requests that the state may not include.
	recentSends []time.Time
	usualPace   loadview.UsualPace
}

// valid reports whether the state may be used.
func (s *sharedState) valid(now time.Time) bool {
	return !s.receivedAt.IsZero() && now.Sub(s.receivedAt) < loadViewTTL
}

// pace returns how long work takes now, 0 if that is unknown.
func (s *sharedState) pace(now time.Time) float64 {
	if s.toldAt.IsZero() || now.Sub(s.toldAt) >= loadview.PaceTTL {
		return 0
	}
	return s.state.Pace
}

// noteSent records the time of a request to the replica.
func (p *Peer) noteSent(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &p.shared
	if len(s.recentSends) == maxRecentSends {
		s.recentSends = append(s.recentSends[:0], s.recentSends[1:]...)
	}
	s.recentSends = append(s.recentSends, now)
}

// setSharedState sets the state that a control node sent.
func (p *Peer) setSharedState(now time.Time, state loadview.ReplicaState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &p.shared
	s.state, s.receivedAt, s.toldAt = state, now, time.Time{}
	if state.Told {
		s.toldAt = now.Add(-state.Age)
		s.usualPace.Note(now, state.Pace)
	}
	recent := s.recentSends[:0]
	for _, at := range s.recentSends {
		if now.Sub(at) < viewDelay {
			recent = append(recent, at)
		}
	}
	s.recentSends = recent
}

// sharesLoad reports whether a control node sent a state of the replica that may be used.
func (p *Peer) sharesLoad(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shared.valid(now)
}

// applySharedState adds to an estimate by this gateway's own knowledge what a control node told. A
// newer load that the replica told this gateway stays; the lock is held.
func (p *Peer) applySharedState(now time.Time, o *loadEstimate) {
	s := &p.shared
	if !s.valid(now) {
		return
	}
	o.factor, o.usual = s.state.Factor, s.usualPace.Mean()
	ownKnown := p.load.Known && now.Sub(p.loadAt) < replicaLoadTTL
	if ownKnown && p.loadAt.After(s.toldAt) {
		o.pace = firstKnown(p.ownPace(now), s.pace(now), o.usual)
		return
	}
	o.pace = firstKnown(s.pace(now), p.ownPace(now), o.usual)
	o.running = max(p.running, s.state.Running+len(s.recentSends))
	o.waiting = s.state.Waiting
	if s.state.Slots > 0 {
		o.slots = s.state.Slots
	}
	if age := now.Sub(s.toldAt); !s.toldAt.IsZero() && (o.loadAge < 0 || age < o.loadAge) {
		o.loadAge = age
	}
}

// ownPace returns the pace that the replica told this gateway, 0 if that is unknown; the lock is
// held.
func (p *Peer) ownPace(now time.Time) float64 {
	if !p.load.Known || now.Sub(p.loadAt) >= loadview.PaceTTL {
		return 0
	}
	return p.load.Pace
}

// firstKnown returns the first value that is not 0.
func firstKnown(values ...float64) float64 {
	for _, value := range values {
		if value != 0 {
			return value
		}
	}
	return 0
}

// loadView records when this gateway was last told the states of replicas. It is safe for concurrent
// use.
type loadView struct {
	mu         sync.Mutex
	receivedAt time.Time
	// requestAt is when the first request was sent since, zero if none.
	requestAt time.Time
	lost      bool
}

// noteRequest records that a request was sent to a replica whose state should be told.
func (v *loadView) noteRequest(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.requestAt.IsZero() {
		v.requestAt = now
	}
}

// received records that states were received. It reports whether they had been missing.
func (v *loadView) received(now time.Time) (regained bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.receivedAt, v.requestAt = now, time.Time{}
	regained, v.lost = v.lost, false
	return regained
}

// checkLost reports whether states have newly gone missing although requests were sent.
func (v *loadView) checkLost(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.lost || v.requestAt.IsZero() || now.Sub(v.requestAt) < loadViewTTL {
		return false
	}
	v.lost = true
	return true
}

// age returns the time since states were received; found is false if there were none.
func (v *loadView) age(now time.Time) (age time.Duration, found bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.receivedAt), !v.receivedAt.IsZero()
}

// setStates sets the states of replicas that a control node sent. It returns an error and changes
// nothing if they are invalid. States of replicas whose service does not share them are ignored; the
// lock is held.
func (f *Fleet) setStates(now time.Time, packed []byte) error {
	err := loadview.UnpackStates(packed, func(key uint64, state loadview.ReplicaState) {
		if peer := f.byBacklogKey[key]; peer != nil && f.isSmallBatch(peer.service) {
			peer.setSharedState(now, state)
		}
	})
	if err != nil {
		f.ring.Add(event.Event{Kind: event.LoadViewRefused, Reason: err.Error()})
		return err
	}
	if len(packed) > 0 && f.loadView.received(now) {
		f.ring.Add(event.Event{Kind: event.LoadViewRegained})
	}
	return nil
}

// CheckLoadView logs if this gateway sent requests and was told no states of replicas for too long.
func (f *Fleet) CheckLoadView(now time.Time) {
	if !f.loadView.checkLost(now) {
		return
	}
	reason := "no states were ever received"
	if age, found := f.loadView.age(now); found {
		reason = fmt.Sprintf("the newest states are %s old", age.Round(time.Millisecond))
	}
	f.ring.Add(event.Event{Kind: event.LoadViewLost, Reason: reason})
}

// LoadView returns the age of the states that this gateway was last told, and the number of replicas
// whose state may be used; found is false if it was never told any.
func (f *Fleet) LoadView(now time.Time) (age time.Duration, replicas int, found bool) {
	age, found = f.loadView.age(now)
	if !found {
		return 0, 0, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, peer := range f.peers {
		if peer.sharesLoad(now) {
			replicas++
		}
	}
	return age, replicas, true
}
