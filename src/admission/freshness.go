package admission

import "time"

// confirmationsKept bounds the versions whose confirmations are remembered: a gateway that
// lags behind by more asks for the newest configuration anyway.
const confirmationsKept = 16

// Freshness is how lately configurations were known to be the newest accepted one. It is
// not safe for concurrent use.
type Freshness struct {
	// confirmed are in the order of their versions.
	confirmed []confirmation
}

// confirmation says that a version was the newest at a time.
type confirmation struct {
	version uint64
	at      time.Time
}

// Confirm takes in that a version was the newest at a time; one that is older than what is
// known already says nothing new.
func (f *Freshness) Confirm(version uint64, at time.Time) {
	newest, _ := f.Newest()
	switch {
	case version == 0 || version < newest:
		return
	case version > newest:
		f.confirmed = append(f.confirmed, confirmation{version: version, at: at})
		f.confirmed = f.confirmed[max(len(f.confirmed)-confirmationsKept, 0):]
		return
	}
	last := &f.confirmed[len(f.confirmed)-1]
	if at.After(last.at) {
		last.at = at
	}
}

// Newest returns the newest version that is known and when it was known to be that, 0 if
// none is.
func (f *Freshness) Newest() (version uint64, at time.Time) {
	if len(f.confirmed) == 0 {
		return 0, time.Time{}
	}
	last := f.confirmed[len(f.confirmed)-1]
	return last.version, last.at
}

// At returns when a configuration of a version was last known to be the newest, the zero
// time if it never was. One that is newer than all that were confirmed was not older than
// the newest of them.
func (f *Freshness) At(version uint64) time.Time {
	for i := len(f.confirmed) - 1; i >= 0; i-- {
		if f.confirmed[i].version <= version {
			return f.confirmed[i].at
		}
	}
	return time.Time{}
}
