package ratelimit

import "fmt"

// State is a backend server's limit.
type State struct {
	Limited bool
	// PerSecond is the number of requests a second that it accepts from all gateways, if Limited is
	// set.
	PerSecond float64
}

func (s State) String() string {
	if !s.Limited {
		return "no limit"
	}
	return fmt.Sprintf("%g requests a second", s.PerSecond)
}

// Stricter reports whether the limit allows fewer requests than another one.
func (s State) Stricter(than State) bool {
	return s.Limited && (!than.Limited || s.PerSecond < than.PerSecond)
}

// LimitReport is a gateway's report of a backend server's limit.
type LimitReport struct {
	State
	// FromResponse is set if the limit was read from an answer of the backend server; otherwise it
	// is what the gateway knew before.
	FromResponse bool
	// Term and Permit identify the permit of the answered request, 0 if it had none.
	Term, Permit uint64
}

// knownLimit is the issuer's knowledge of a backend server's limit.
type knownLimit struct {
	state State
	// observed is set if the limit was read from an answer in the issuer's term; otherwise a
	// gateway knew it from before.
	observed bool
	// sincePermit is a permit that was issued before the limit was announced.
	sincePermit uint64
	known       bool
}

// update processes a report; newest is the issuer's newest permit. It reports whether the limit in
// force changes.
//
// Answers arrive out of order, and the clocks of hosts differ. An answer to a request with a permit
// was given after the permit was issued, so the answer to the later permit wins. An answer to a
// request without a permit counts as new if it announces a stricter limit, and is ignored otherwise.
func (k *knownLimit) update(term, newest uint64, w LimitReport) (changed bool) {
	if !w.FromResponse {
		return k.restore(newest, w.State)
	}
	permit := w.Permit
	if w.Term != term {
		permit = 0
	}
	switch {
	case permit > 0 && (!k.known || permit > k.sincePermit):
		return k.set(w.State, permit)
	case permit > 0 || !w.Limited:
		return false
	case w.Stricter(k.state):
		return k.set(w.State, newest)
	}
	return false
}

// restore processes a limit that a gateway knows from before and a new leader does not. If gateways
// know different limits the lowest applies until an answer shows the present one.
func (k *knownLimit) restore(newest uint64, s State) (changed bool) {
	if !s.Limited || k.observed || k.known && k.state.PerSecond <= s.PerSecond {
		return false
	}
	changed = k.set(s, newest)
	k.observed = false
	return changed
}

func (k *knownLimit) set(s State, sincePermit uint64) (changed bool) {
	changed = k.state != s
	*k = knownLimit{state: s, observed: true, sincePermit: sincePermit, known: true}
	return changed
}
