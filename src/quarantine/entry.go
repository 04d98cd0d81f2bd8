package quarantine

import (
	"slices"
	"time"
)

// Threshold is the number of failures after which a content is quarantined. In a simulation of 100
// fleets that lost half of their replicas four times, nine refused more than one in 1,000 of the
// harmless requests with a threshold of two, and none with three.
const Threshold = 3

// ServedThreshold is the same for a part of prompts that requests were served with not long before. Many
// requests share such a part, and more than one of them may be under way at replicas that crash for
// another reason.
const ServedThreshold = 5

// Limits of an entry.
const (
	// suspectTTL is how long failures below the threshold are remembered.
	suspectTTL = 10 * time.Minute
	// maxFailures is the number of failures kept for an entry.
	maxFailures = 16
)

// Entry is the state of one content or part of prompts as processes exchange it.
type Entry struct {
	Digest Digest `json:"d"`
	// Part is the ID of the part, shortened, "" for a content.
	Part string `json:"p,omitempty"`
	// Position is the part's position in its prompt from 1; the last one if prompts differ.
	Position int `json:"o,omitempty"`
	// Served is set if requests with the part were served not long before its failures, or since.
	Served bool `json:"g,omitempty"`
	// FailedTrials is how often a replica ended under the content or part after its hold was over.
	FailedTrials int `json:"t,omitempty"`
	// Round grows when the content is cleared by a completed request or by an operator; failures of
	// earlier rounds no longer count.
	Round uint64 `json:"r,omitempty"`
	// Failures identify the incarnations of replicas that ended while running the content in this
	// round.
	Failures []string `json:"e,omitempty"`
	// AgeMS is the time since the last of them ended, in milliseconds.
	AgeMS int64 `json:"a,omitempty"`
}

// Key returns what the entry is about.
func (e *Entry) Key() Key { return Key{Digest: e.Digest, Part: e.Part, Position: e.Position} }

// IsPart reports whether the entry is about the part with the given ID, as logs show it.
func (e *Entry) IsPart(id string) bool { return id != "" && e.Part == id }

// entry is the state of one content or part in a table.
type entry struct {
	part     string
	position int
	served   bool
	status   status
	// failedTrials is the number of failures that began a new hold.
	failedTrials int
	// trialUntil is when another request may be sent on trial at the earliest.
	trialUntil time.Time
	round      uint64
	failures   []string
	// changedAt is the time of the last failure, or when the content was cleared.
	changedAt time.Time
	// version is the table's version at the last change, localVersion at the last change that this
	// process observed itself or that was reported to it alone.
	version      uint64
	localVersion uint64
	// reportedHeld is set while the content is reported as held.
	reportedHeld bool
}

func (e *entry) held(now time.Time) bool {
	return e.status != cleared && now.Before(e.changedAt.Add(e.holdDuration()))
}

// expired reports whether an entry can be removed. One that was held is kept twice as long, so that
// the next failure does not count as the first.
func (e *entry) expired(now time.Time) bool {
	ttl := suspectTTL
	if len(e.failures) >= e.threshold() {
		ttl = max(ttl, 2*e.holdDuration())
	}
	return now.Sub(e.changedAt) > ttl
}

// addFailure adds a failure and reports whether that changed the entry. Failures beyond those that are kept
// count if they end a trial.
func (e *entry) addFailure(now time.Time, replica string) bool {
	if slices.Contains(e.failures, replica) {
		return false
	}
	failedTrial := e.status == quarantined && !e.held(now)
	full := len(e.failures) >= maxFailures
	if full && !failedTrial {
		return false
	}
	if failedTrial {
		e.failedTrials++
	}
	if !full {
		e.failures = append(e.failures, replica)
	}
	e.changedAt = now
	return true
}

// identify adds what is known of the entry's part.
func (e *entry) identify(part string, position int) {
	if e.part == "" {
		e.part = part
	}
	e.position = max(e.position, position)
}

// appendChange appends a Change if the entry's state differs from the one last reported.
func (e *entry) appendChange(now time.Time, digest Digest, changes []Change) []Change {
	held := e.held(now)
	if held == e.reportedHeld {
		return changes
	}
	e.reportedHeld = held
	key := Key{Digest: digest, Part: e.part, Position: e.position}
	return append(changes, Change{Key: key, Held: held, Failures: slices.Clone(e.failures), For: e.holdDuration()})
}
