package quarantine

import "time"

// holdDurations is how long a content is held after its last failure, by the number of failed trials.
// After that a gateway sends one request with it at a time, so that one that was quarantined by mistake can
// clear itself. Of the three requests that may be sent after the third failure at all, two are used for that.
var holdDurations = []time.Duration{time.Hour, 24 * time.Hour, 7 * 24 * time.Hour}

// partHoldDurations is the same for a part of prompts. More requests share it, so that a mistake must
// end sooner.
var partHoldDurations = []time.Duration{10 * time.Minute, time.Hour, 24 * time.Hour, 7 * 24 * time.Hour}

// servedHoldDurations is the same for a part that requests were served with not long before. If all replicas
// of a service crash for a while, parts that most requests have are quarantined, and must be served soon after.
var servedHoldDurations = []time.Duration{time.Minute, 10 * time.Minute, time.Hour, 24 * time.Hour}

// ambiguousHold is how long a part is held whose failures may all have another cause. If it is a second
// one that crashes replicas, three more failures tell.
const ambiguousHold = 10 * time.Second

// holdDuration returns how long the entry is held.
func (e *entry) holdDuration() time.Duration {
	if e.status == ambiguous {
		return ambiguousHold
	}
	durations := holdDurations
	switch {
	case e.part != "" && e.served:
		durations = servedHoldDurations
	case e.part != "":
		durations = partHoldDurations
	}
	return durations[min(e.failedTrials, len(durations)-1)]
}
