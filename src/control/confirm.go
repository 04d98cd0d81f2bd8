package control

import (
	"context"
	"slices"
	"time"

	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

const (
	// confirmInterval is how often the voters are asked while no leader confirms this node's state, and
	// firstConfirmInterval how often until the first confirmation, which started gateways wait for.
	confirmInterval      = 250 * time.Millisecond
	firstConfirmInterval = 100 * time.Millisecond
	// leaderConfirmationAge is the age of a leader's last confirmation from which on the voters are
	// asked. Followers of a leader hear from it several times within this time.
	leaderConfirmationAge = 500 * time.Millisecond
)

// stateConfirmation says that no configuration newer than version and no zone order later than drains
// had been acknowledged at a time.
type stateConfirmation struct {
	version uint64
	drains  uint64
	at      time.Time
}

// MaintainConfirmation keeps the applied state confirmed by a majority of the voters while no leader
// does, until the context ends.
//
// A configuration or zone order is acknowledged once a majority's disks know that it is committed, and
// each majority has a node in common with that one. So what is the newest of a majority is the newest
// that was acknowledged. That needs no leader, and no sync while disks hang.
func (c *Cluster) MaintainConfirmation(ctx context.Context) {
	pause := firstConfirmInterval
	for ctx.Err() == nil {
		now := c.now()
		if now.Sub(c.Confirmed(now)) <= leaderConfirmationAge || c.confirmByMajority(ctx, now) {
			pause = confirmInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// MajorityConfirmed returns when a majority of the voters was last known to have applied nothing newer
// than a configuration and a revision of the drained zones, the zero time if never.
func (c *Cluster) MajorityConfirmed(version, drains uint64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.majorityState.version > version || c.majorityState.drains > drains {
		return time.Time{}
	}
	return c.majorityState.at
}

// confirmByMajority asks the other voters what they have applied and reports whether a majority is known. The
// confirmation holds as of the moment before the first question.
func (c *Cluster) confirmByMajority(ctx context.Context, askedAt time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	own := c.appliedState()
	answers := make(chan wire.AppliedState, len(own.Voters))
	asked := 0
	for _, voter := range own.Voters {
		if voter == own.ID {
			continue
		}
		asked++
		go func() {
			var state wire.AppliedState
			// A voter that gives no answer has the empty ID, which is no voter's.
			_ = c.links.Client(nameOf(raft.ID(voter))).Call(ctx, wire.MethodApplied, wire.Empty{}, &state)
			answers <- state
		}()
	}
	states := []wire.AppliedState{own}
	for {
		if confirmed, found := majorityState(states); found {
			confirmed.at = askedAt
			c.setMajorityState(confirmed)
			return true
		}
		if len(states) > asked {
			return false
		}
		states = append(states, <-answers)
	}
}

func (c *Cluster) setMajorityState(confirmed stateConfirmation) {
	c.mu.Lock()
	first := c.majorityState.at.IsZero()
	if confirmed.at.After(c.majorityState.at) {
		c.majorityState = confirmed
	}
	c.mu.Unlock()
	if first && c.options.FirstConfirmed != nil {
		c.options.FirstConfirmed()
	}
}

// majorityState returns the newest state among the nodes if they contain a majority of voters that agree
// on who votes. Voters that disagree are not counted together: one of them may not know yet of a change of
// the membership, and majorities of both memberships need not have a node in common.
func majorityState(states []wire.AppliedState) (stateConfirmation, bool) {
	var newest stateConfirmation
	majority := false
	for _, state := range states {
		newest.version = max(newest.version, state.Version)
		newest.drains = max(newest.drains, state.Drains)
		agreeing := 0
		for _, other := range states {
			if slices.Contains(state.Voters, other.ID) && slices.Equal(state.Voters, other.Voters) {
				agreeing++
			}
		}
		majority = majority || len(state.Voters) > 0 && agreeing > len(state.Voters)/2
	}
	return newest, majority
}

// handleApplied answers what this node has applied.
func (c *Cluster) handleApplied(context.Context, *rpc.Peer, wire.Empty) (wire.AppliedState, error) {
	return c.appliedState(), nil
}

func (c *Cluster) appliedState() wire.AppliedState {
	current := c.node.currentView()
	state := wire.AppliedState{ID: string(c.options.ID), Version: current.document.Version, Drains: current.drains.Revision}
	for _, id := range current.members.Voters {
		state.Voters = append(state.Voters, string(id))
	}
	slices.Sort(state.Voters)
	return state
}
