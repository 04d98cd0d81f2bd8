package exchange

import (
	"sync"
	"time"
)

// A service whose replicas give none of their streams a length or chunks proves no end by the rest of a copy, while each
// copy takes memory of another replica and bandwidth.
const (
	// maxVainCopies is how many copies in a row may prove nothing before few are made.
	maxVainCopies = 16
	// vainCopyInterval is the time between two copies that find out whether they prove something again.
	vainCopyInterval = time.Second
)

// vainCopies decides whether copies of a service's runs are worth making. The zero value is ready to use; it is safe for
// concurrent use.
type vainCopies struct {
	mu       sync.Mutex
	services map[string]*vainCount
}

// vainCount counts the copies in a row that proved nothing.
type vainCount struct {
	vain   int
	lastAt time.Time
}

// mayCopy reports whether a run of a service is to be copied now.
func (v *vainCopies) mayCopy(now time.Time, service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	count := v.services[service]
	if count == nil || count.vain < maxVainCopies {
		return true
	}
	if now.Sub(count.lastAt) < vainCopyInterval {
		return false
	}
	count.lastAt = now
	return true
}

// note records whether the rest of a copy proved the end of its stream.
func (v *vainCopies) note(now time.Time, service string, proven bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if proven {
		delete(v.services, service)
		return
	}
	if v.services == nil {
		v.services = map[string]*vainCount{}
	}
	count := v.services[service]
	if count == nil {
		count = &vainCount{}
		v.services[service] = count
	}
	count.vain++
	count.lastAt = now
}
