package exchange

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/moorspool/moorspool/src/resume"
)

const (
	// minBackupTokens is the expected length of a stream from which on a copy of its run is kept.
	// On common engines 100 tokens take about a second; shorter streams have mostly ended before
	// their replica fails.
	minBackupTokens = 100
	// reachTimeout is how long a reachable replica may take to accept a connection. It allows three
	// dials, since a SYN packet may be lost.
	reachTimeout = 3 * dialAttempt
	// maxRereadShare is the share of the allowed pause in which another replica can read a prompt and
	// the output so far, so that a stream that may be resumed needs no copy of its run. The rest is
	// for finding out that the first replica is lost.
	maxRereadShare = 0.5
)

// wantsBackup reports whether another replica should keep a copy of the request's run.
func (c *call) wantsBackup() bool {
	if !c.supportsBackups || c.stream != nil && c.stream.started {
		return false
	}
	expected := c.requestInfo.OutputTokens
	if c.requestInfo.OutputHint > 0 {
		expected = c.requestInfo.OutputHint
	}
	return expected >= minBackupTokens && !c.resumesWithoutCopy()
}

// resumesWithoutCopy reports whether the stream, if its replica is lost, can go on at any other
// replica without a noticeable pause. On engines with small batches a copy that is not needed takes
// the memory, and with it the slots, of other requests.
func (c *call) resumesWithoutCopy() bool {
	if !c.engine.SmallBatch() || !c.route.Idempotent() || c.route.Attempts < 2 {
		return false
	}
	fleet := c.handler.options.Fleet
	output := fleet.outputs.Expected(c.route.Name, c.requestInfo.OutputHint, c.requestInfo.OutputTokens)
	reread := fleet.speeds.PrefillTime(c.requestInfo.Model, c.requestInfo.PromptTokens+output)
	return reread <= time.Duration(float64(c.route.GapTarget)*maxRereadShare)
}

// chooseBackup chooses a replica that keeps a copy of the run and returns its address. It returns
// "" if no copy is wanted or no other replica holds the model.
func (c *call) chooseBackup(now time.Time, chosen *Peer) string {
	if !c.wantsBackup() {
		return ""
	}
	c.backup = c.pickBackup(now, append(c.tried, chosen))
	if c.backup == nil {
		return ""
	}
	return c.backup.pool.address
}

// pickBackup chooses among the replicas with the software of the chosen one, the last of others: only
// they can go on with the run.
func (c *call) pickBackup(now time.Time, others []*Peer) *Peer {
	want := c.requirements()
	want.Origin.Bind(now, others[len(others)-1].origin(), resume.Written)
	if c.engine.SmallBatch() {
		return c.handler.options.Fleet.backupWithRoom(now, want, others)
	}
	return c.handler.options.Fleet.backup(now, want, others)
}

// backupWithRoom returns the least used replica with a free slot that holds the same model, in this
// gateway's zone if there is one: the gateway has to reach it when the first replica can't be
// reached. It returns nil if all batches are full, since the copy would preempt what runs there.
func (f *Fleet) backupWithRoom(now time.Time, want Requirements, others []*Peer) *Peer {
	held := copyKey{model: want.Model, adapter: want.Adapter}
	var best *Peer
	bestUse, bestLocal := 1.0, false
	for _, c := range f.index.lookup(want.Service, held) {
		if !f.mayKeepCopy(now, &want, c, others) {
			continue
		}
		estimate := c.peer.loadEstimate(now)
		use := float64(estimate.running+estimate.waiting) / float64(estimate.slots)
		local := c.zone == f.zone
		if estimate.ejected || use >= 1 || bestLocal && !local {
			continue
		}
		if best == nil || local && !bestLocal || use < bestUse {
			best, bestUse, bestLocal = c.peer, use, local
		}
	}
	return best
}

// holds reports whether a replica is listed with a model and adapter.
func (f *Fleet) holds(service string, held copyKey, peer *Peer) bool {
	return slices.ContainsFunc(f.index.lookup(service, held), func(c *candidate) bool { return c.peer == peer })
}

// mayKeepCopy reports whether a replica may keep a copy of a request's run, whatever its load.
func (f *Fleet) mayKeepCopy(now time.Time, want *Requirements, c *candidate, others []*Peer) bool {
	held := copyKey{model: want.Model, adapter: want.Adapter}
	return f.mayServe(want, c.zone, c.peer) && !wasTried(others, c.peer) && !c.peer.lacksCopy(now, held) && f.acceptsWithoutPermit(c.peer)
}

// backup returns a replica that holds the same model, preferably in another availability zone than
// the one that runs the request, since a whole zone can fail at once.
func (f *Fleet) backup(now time.Time, want Requirements, others []*Peer) *Peer {
	held := copyKey{model: want.Model, adapter: want.Adapter}
	zone := others[len(others)-1].zone()
	var sameZone, otherZones []*Peer
	for _, c := range f.index.lookup(want.Service, held) {
		if !f.mayKeepCopy(now, &want, c, others) || c.peer.loadEstimate(now).ejected {
			continue
		}
		if c.zone == zone {
			sameZone = append(sameZone, c.peer)
		} else {
			otherZones = append(otherZones, c.peer)
		}
	}
	if len(otherZones) > 0 {
		return otherZones[rand.IntN(len(otherZones))]
	}
	if len(sameZone) > 0 {
		return sameZone[rand.IntN(len(sameZone))]
	}
	return nil
}

// provenLoss returns what proves that the replica of the last attempt is lost.
func (c *call) provenLoss(ctx context.Context, lost *Peer) lossProof {
	if c.early.proof != lossUnproven {
		return c.early.proof
	}
	return proveLoss(ctx, lost, c.brokenBy)
}

// resumeAtBackup reports whether a stream whose replica was lost continues at the replica with a
// copy of its run, and chooses that replica. The copy counts as the same run, so this is allowed
// even if a request must not run twice, but only once the first replica cannot be working on it any
// more.
func (c *call) resumeAtBackup(ctx context.Context, lost *Peer) (Choice, bool) {
	backup := c.backup
	c.backup = nil
	if backup == nil || c.timeOver(ctx) || c.stream == nil || c.stream.lastEventID == "" {
		return Choice{}, false
	}
	proof := c.provenLoss(ctx, lost)
	c.reason += "; " + lost.ID() + ": " + proof.String()
	if proof == lossUnproven {
		return Choice{}, false
	}
	if !c.mayWrite(backup, backup.writerOrigin()) {
		return Choice{}, false
	}
	c.dropCopy()
	copied := &runCopy{backup: true, source: lost, target: backup, request: c.requestInfo.ID, ended: make(chan struct{}), places: []*copyPlace{{peer: backup}}}
	close(copied.ended)
	c.rest = &restSearch{copied: copied, until: c.handler.options.Now().Add(maxRestWait)}
	return c.searchRest(ctx)
}
