package admission

import "time"

// maxConfirmations is the number of versions whose confirmations are kept. A gateway that lags
// behind by more requests the newest configuration anyway.
const maxConfirmations = 16

// Freshness tracks when configurations were last known to be the newest accepted one. It is not
// safe for concurrent use.
type Freshness struct {
	// confirmed is sorted by version.
	confirmed []confirmation
}

// confirmation says that a version was the newest at a time.
type confirmation struct {
	version uint64
	at      time.Time
}

// Confirm records that a version was the newest at a time. Versions older than the newest known one
// are ignored.
func (f *Freshness) Confirm(version uint64, at time.Time) {
	newest, _ := f.Newest()
	switch {
	case version == 0 || version < newest:
		return
	case version > newest:
		f.confirmed = append(f.confirmed, confirmation{version: version, at: at})
		f.confirmed = f.confirmed[max(len(f.confirmed)-maxConfirmations, 0):]
		return
	}
	last := &f.confirmed[len(f.confirmed)-1]
	if at.After(last.at) {
		last.at = at
	}
}

// Newest returns the newest known version and when it was last confirmed, 0 if there is none.
func (f *Freshness) Newest() (version uint64, at time.Time) {
	if len(f.confirmed) == 0 {
		return 0, time.Time{}
	}
	last := f.confirmed[len(f.confirmed)-1]
	return last.version, last.at
}

// ConfirmedAt returns when a version was last known to be the newest, the zero time if it never
// was. A version above all confirmed ones is at least as new as the highest of them.
func (f *Freshness) ConfirmedAt(version uint64) time.Time {
	for i := len(f.confirmed) - 1; i >= 0; i-- {
		if f.confirmed[i].version <= version {
			return f.confirmed[i].at
		}
	}
	return time.Time{}
}
