package fleet

import (
	"sync"

	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/process"
)

// maxUnknownNames bounds the names that are logged and counted separately, since backend servers
// choose them.
const maxUnknownNames = 32

// unknownNames records headers and fields of backend servers that moorspool does not know. Such a
// header may ask a gateway for something, which would go unnoticed if it were not logged. It is safe
// for concurrent use.
type unknownNames struct {
	proc *process.Process

	mu    sync.Mutex
	known map[string]bool
}

func newUnknownNames(proc *process.Process) *unknownNames {
	return &unknownNames{proc: proc, known: map[string]bool{}}
}

// record logs each name once and counts each occurrence; names beyond the bound are counted together.
func (u *unknownNames) record(server string, names []string) {
	for _, name := range names {
		label, first := u.label(name)
		u.proc.Metrics().CountOf("unknown_words_total", "name", label).Inc(1)
		if first {
			u.proc.Ring().Add(event.Event{Kind: event.UnknownName, Host: server, Reason: name})
		}
	}
}

// label returns the label under which a name is counted, and whether the name is new.
func (u *unknownNames) label(name string) (label string, first bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.known[name]:
		return name, false
	case len(u.known) >= maxUnknownNames:
		return "others", false
	}
	u.known[name] = true
	return name, true
}
