package placer

import (
	"time"

	"github.com/moorspool/moorspool/src/catalog"
)

// limitGracePeriod is how long a replica has to be limited before its copies are ignored if the
// limit is below the demand. A load from the store takes longer than most limits last.
const limitGracePeriod = 3 * time.Second

// SetLimits sets the rate limits of replicas in requests a second; replicas that are not in limits
// have none.
func (p *Placer) SetLimits(limits map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	for id, r := range p.replicas {
		perSecond, limited := limits[id]
		if limited && !r.limited {
			r.limitedSince = now
		}
		r.limited, r.rateLimit = limited, perSecond
	}
}

// updateUnderCapacity determines the replicas whose copies are ignored, as if they were lost: those
// that have been limited for the grace period and whose limit is below their demand. If more than
// half of the replicas of a service are limited, other replicas are no better and all copies count.
// The lock is held.
func (p *Placer) updateUnderCapacity(now time.Time, s *catalog.Service, replicas []*replicaState) {
	copyCounts := map[string]int{}
	limited := 0
	for _, r := range replicas {
		for name, c := range r.copies {
			if r.usable && c.phase == ready {
				copyCounts[name]++
			}
		}
		if r.usable && r.limited {
			limited++
		}
	}
	for _, r := range replicas {
		r.underCapacity = r.limited && limited*2 <= len(replicas) && now.Sub(r.limitedSince) >= limitGracePeriod && r.rateLimit < p.requestRate(now, s, r, copyCounts)
	}
}

// requestRate returns the number of requests a second for a replica if those for each of its models
// are spread evenly over the model's copies.
func (p *Placer) requestRate(now time.Time, s *catalog.Service, r *replicaState, copyCounts map[string]int) float64 {
	rate := 0.0
	for name, c := range r.copies {
		if known := p.demand.requests[modelKey{s.Name, name}]; known != nil && c.phase == ready {
			rate += known.get(now) / float64(max(copyCounts[name], 1))
		}
	}
	return rate
}

// countsAsPlace reports whether the copies on a replica count and others may be placed on it.
func (r *replicaState) countsAsPlace() bool { return r.usable && !r.underCapacity }
