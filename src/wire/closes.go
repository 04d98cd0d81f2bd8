package wire

import (
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/closes"
)

// The bounds of a list of software that closes short.
const (
	// MaxShortCloses is how many software versions a list may name.
	MaxShortCloses = 256
	// MaxSoftwareName is the longest name of a service or software version in it, in bytes.
	MaxSoftwareName = 256
)

// ShortCloses lists software whose servers were seen to end answers in order before their end.
type ShortCloses struct {
	Software []ShortClose `json:"s"`
}

// ShortClose is a software version and how long ago it was last seen.
type ShortClose struct {
	Service         string `json:"s"`
	SoftwareVersion string `json:"v,omitempty"`
	AgeMS           int64  `json:"a,omitempty"`
}

// NewShortCloses returns the list of what was seen, without names that are too long to be told.
func NewShortCloses(now time.Time, entries []closes.Entry) ShortCloses {
	var list ShortCloses
	for _, e := range entries {
		if len(e.Service) > MaxSoftwareName || len(e.Version) > MaxSoftwareName {
			continue
		}
		list.Software = append(list.Software, ShortClose{Service: e.Service, SoftwareVersion: e.Version, AgeMS: max(now.Sub(e.SeenAt).Milliseconds(), 0)})
	}
	return list
}

// Entries returns what the list says was seen. It returns an error for a malformed list.
func (s *ShortCloses) Entries(now time.Time) ([]closes.Entry, error) {
	if len(s.Software) > MaxShortCloses {
		return nil, errors.Errorf("%d software versions that close short, more than %d", len(s.Software), MaxShortCloses)
	}
	var entries []closes.Entry
	for _, told := range s.Software {
		switch {
		case told.Service == "":
			return nil, errors.New("software that closes short, of no service")
		case len(told.Service) > MaxSoftwareName || len(told.SoftwareVersion) > MaxSoftwareName:
			return nil, errors.Errorf("the name of software that closes short has more than %d bytes", MaxSoftwareName)
		case told.AgeMS < 0:
			return nil, errors.Errorf("software that closes short was seen %d ms ago", told.AgeMS)
		}
		// Beyond the retention all ages mean the same, and a longer one may exceed a time.Duration.
		age := time.Duration(min(told.AgeMS, closes.Retention.Milliseconds())) * time.Millisecond
		entries = append(entries, closes.Entry{Software: closes.Software{Service: told.Service, Version: told.SoftwareVersion}, SeenAt: now.Add(-age)})
	}
	return entries, nil
}
