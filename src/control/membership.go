package control

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// Tend looks after the membership until the context ends: a node that is no
// member asks to become a learner, and the leader lets caught-up learners take
// the places of voters that are gone.
func (c *Cluster) Tend(ctx context.Context) {
	ticker := time.NewTicker(tendMembersEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.tendOnce(ctx)
	}
}

func (c *Cluster) tendOnce(ctx context.Context) {
	var next *raft.Members
	var quorum Quorum
	c.node.Do(func(now time.Time) {
		quorum = quorumOf(c.node.replica, now)
		c.noteLeader(now, quorum.LeaderKnown)
		if quorum.Leading {
			next = nextVoters(c.node.replica.core, now, c.options.Voters)
		}
	})
	c.noteQuorum(quorum)
	if next != nil {
		c.proposeMembers(ctx, *next)
	}
	if !quorum.Leading && c.alone(c.now()) {
		c.askToJoin(ctx)
	}
}

func (c *Cluster) noteLeader(now time.Time, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known {
		c.leaderAt = now
	}
}

// alone reports whether no leader was known for so long that this node may
// have been replaced.
func (c *Cluster) alone(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.leaderAt) > lonely
}

// nextVoters returns the next single step towards the wanted number of live
// voters, nil if there is none to take.
func nextVoters(core *raft.Core, now time.Time, wanted int) *raft.Members {
	members := core.Members()
	learner := caughtUp(core, now)
	if learner == "" {
		return nil
	}
	if len(members.Voters) < wanted {
		next := members.WithVoter(learner)
		return &next
	}
	gone := goneVoter(core, now, learner)
	if gone == "" {
		return nil
	}
	next := members.Without(gone)
	return &next
}

// caughtUp returns a learner that holds all that is committed and is in contact.
func caughtUp(core *raft.Core, now time.Time) raft.ID {
	for _, id := range core.Members().Learners {
		if core.Match(id) >= core.Commit() && now.Sub(core.Contact(id)) < voterContact {
			return id
		}
	}
	return ""
}

// goneVoter returns the voter whose place the learner may take: one whose
// machine came back without its disk as this learner, else the one silent
// longest, if all others follow.
func goneVoter(core *raft.Core, now time.Time, learner raft.ID) raft.ID {
	members := core.Members()
	var gone raft.ID
	var goneAt time.Time
	silent := 0
	for _, id := range members.Voters {
		if id == core.ID() {
			continue
		}
		at := lastContact(core, id)
		wiped := nameOf(id) == nameOf(learner)
		if !wiped && now.Sub(at) < voterContact {
			continue
		}
		silent++
		if wiped {
			at = time.Time{}
		}
		if gone == "" || at.Before(goneAt) {
			gone, goneAt = id, at
		}
	}
	if silent != 1 && !(silent > 1 && goneAt.IsZero()) {
		return ""
	}
	if goneAt.IsZero() || now.Sub(goneAt) >= voterSilence {
		return gone
	}
	return ""
}

func (c *Cluster) proposeMembers(ctx context.Context, next raft.Members) wire.MembersReply {
	applied, err := c.node.await(ctx, func(now time.Time, done func(result, error)) {
		c.node.replica.ProposeMembers(now, next, done)
	})
	if err != nil {
		return wire.MembersReply{Outcome: wire.Refused, Reason: err.Error()}
	}
	return wire.MembersReply{Outcome: applied.outcome, Members: next, Reason: applied.reason}
}

// changeMembers lets a node in as a learner; only the leader does so.
func (c *Cluster) changeMembers(ctx context.Context, _ *rpc.Peer, request wire.MembersRequest) (wire.MembersReply, error) {
	if !c.Leadership().Self {
		return wire.MembersReply{Outcome: wire.Unavailable, Reason: "this node does not lead"}, nil
	}
	members := c.members()
	id := request.AddLearner
	if id == "" || members.IsVoter(id) || members.IsLearner(id) {
		return wire.MembersReply{Outcome: wire.Accepted, Members: members}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return c.proposeMembers(ctx, wanted(members, request)), nil
}

// askToJoin asks every other node in turn to be let in as a learner; the
// leader among them does.
func (c *Cluster) askToJoin(ctx context.Context) {
	reason := "no other control node is known"
	for _, address := range c.others() {
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		var reply wire.MembersReply
		err := c.links.Client(address).Call(ctx, wire.MethodMembers, wire.MembersRequest{AddLearner: c.options.ID}, &reply)
		cancel()
		if err == nil && reply.Outcome == wire.Accepted {
			c.noteJoin("accepted by " + address)
			return
		}
		reason = address + ": " + reply.Reason
		if err != nil {
			reason = address + ": " + err.Error()
		}
	}
	c.noteJoin(reason)
}

// others returns the addresses of all nodes ever heard of but this one.
func (c *Cluster) others() []string {
	for _, address := range c.Members() {
		c.Meet(address)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for address := range c.met {
		if address != c.Address() {
			list = append(list, address)
		}
	}
	return list
}

// Meet remembers the address of a control node.
func (c *Cluster) Meet(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.met[address] = true
}
