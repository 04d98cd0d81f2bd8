package member

import (
	"context"
	"time"

	"github.com/qmuntal/stateless"
)

// State is the state of a host.
type State string

// The states of a host.
const (
	// Joining hosts are listed but have not answered yet.
	Joining State = "joining"
	// Live hosts get new work.
	Live State = "live"
	// Suspect hosts have not answered recently; they get work only as a last resort.
	Suspect State = "suspect"
	// Leaving hosts get no new work.
	Leaving State = "leaving"
	// Gone hosts are no longer listed and no longer answer.
	Gone State = "gone"
)

type trigger string

const (
	answered    trigger = "answered"
	silent      trigger = "silent"
	saidLeaving trigger = "said-leaving"
	saidStaying trigger = "said-staying"
	unlisted    trigger = "unlisted"
	relisted    trigger = "relisted"
)

// The time limits of the state machine.
const (
	// SuspectAfter is how long a host may be silent before it is suspected.
	SuspectAfter = 2500 * time.Millisecond
	// GoneAfter is how long a host that is no longer listed is kept while it is silent.
	GoneAfter = 5 * time.Second
)

// Host tracks the state of one backend server. It is not safe for concurrent use.
type Host struct {
	machine *stateless.StateMachine
	// listedLeaving and ownLeaving are set if the platform's list or the host itself says that it
	// is leaving. One of them is enough.
	listedLeaving bool
	ownLeaving    bool
	listed        bool
	answeredAt    time.Time
	listedAt      time.Time
}

// New returns a host that has just been listed.
func New(now time.Time) *Host {
	h := &Host{machine: stateless.NewStateMachine(Joining), listed: true, listedAt: now}
	m := h.machine
	m.Configure(Joining).Permit(answered, Live).Permit(saidLeaving, Leaving).Permit(silent, Suspect).Permit(unlisted, Gone).Ignore(saidStaying).Ignore(relisted)
	m.Configure(Live).Permit(silent, Suspect).Permit(saidLeaving, Leaving).Ignore(answered).Ignore(saidStaying).Ignore(relisted).Ignore(unlisted)
	m.Configure(Suspect).Permit(answered, Live).Permit(saidLeaving, Leaving).Permit(unlisted, Gone).Ignore(silent).Ignore(saidStaying).Ignore(relisted)
	m.Configure(Leaving).Permit(saidStaying, Joining).Permit(unlisted, Gone).Ignore(answered).Ignore(silent).Ignore(saidLeaving).Ignore(relisted)
	m.Configure(Gone).Permit(relisted, Joining).Ignore(answered).Ignore(silent).Ignore(saidLeaving).Ignore(saidStaying).Ignore(unlisted)
	return h
}

// State returns the host's state.
func (h *Host) State() State { return h.machine.MustState().(State) }

func (h *Host) fire(t trigger) {
	// Every state permits or ignores every trigger, so Fire can't fail.
	if err := h.machine.FireCtx(context.Background(), t); err != nil {
		panic(err)
	}
}

// Listed processes the host's entry in the platform's list.
func (h *Host) Listed(leaving bool, now time.Time) {
	h.listed = true
	h.listedLeaving = leaving
	h.fire(relisted)
	h.evaluate(now)
}

// Unlisted processes the host's absence from the platform's list. The list may be wrong, so a host
// that still answers keeps its state.
func (h *Host) Unlisted(now time.Time) {
	h.listed = false
	h.evaluate(now)
}

// Answered processes an answer of the host and whether it says that it is leaving.
func (h *Host) Answered(leaving bool, now time.Time) {
	h.answeredAt = now
	h.ownLeaving = leaving
	h.evaluate(now)
	if !h.ownLeaving && !h.listedLeaving {
		h.fire(answered)
	}
}

// AnnouncedLeaving processes the host's announcement that it is leaving, forwarded by a gateway.
func (h *Host) AnnouncedLeaving(now time.Time) {
	h.ownLeaving = true
	h.evaluate(now)
}

// Update updates the state to the current time.
func (h *Host) Update(now time.Time) { h.evaluate(now) }

func (h *Host) evaluate(now time.Time) {
	if h.listedLeaving || h.ownLeaving {
		h.fire(saidLeaving)
	} else {
		h.fire(saidStaying)
	}
	silence := now.Sub(h.lastContact())
	if silence > SuspectAfter {
		h.fire(silent)
	}
	if !h.listed && silence > GoneAfter {
		h.fire(unlisted)
	}
}

func (h *Host) lastContact() time.Time {
	if h.answeredAt.After(h.listedAt) {
		return h.answeredAt
	}
	return h.listedAt
}
