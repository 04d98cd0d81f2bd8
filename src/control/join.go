package control

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// joinTimeout bounds a join request to one node, which may forward it to the leader.
const joinTimeout = forwardTimeout + 150*time.Millisecond

// joinAnswer is one node's reply to a join request.
type joinAnswer struct {
	address string
	reply   wire.MembersReply
	err     error
}

func (a joinAnswer) accepted() bool { return a.err == nil && a.reply.Outcome == wire.Accepted }

func (a joinAnswer) reason() string {
	switch {
	case a.accepted():
		return "accepted by " + a.address
	case a.err != nil:
		return a.address + ": " + a.err.Error()
	}
	return a.address + ": " + a.reply.Reason
}

// requestJoin asks all other known nodes to add this node as a learner, until one request has been
// accepted by the leader. It learns of further nodes from the replies.
func (c *Cluster) requestJoin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	addresses := c.otherAddresses()
	answers := make(chan joinAnswer, len(addresses))
	for _, address := range addresses {
		go func() { answers <- c.requestJoinFrom(ctx, address) }()
	}
	accepted, reason := false, "no other control node is known"
	for range addresses {
		answer := <-answers
		c.addKnownMembers(answer.reply.Members)
		accepted, reason = answer.accepted(), answer.reason()
		if accepted {
			break
		}
	}
	c.logJoin(c.now(), accepted, reason)
}

func (c *Cluster) requestJoinFrom(ctx context.Context, address string) joinAnswer {
	answer := joinAnswer{address: address}
	request := wire.MembersRequest{AddLearner: c.options.ID}
	answer.err = c.links.Client(address).Call(ctx, wire.MethodMembers, request, &answer.reply)
	return answer
}

// changeMembers adds a node as a learner if this node leads. Otherwise it forwards the request to
// the leader, unless it has been forwarded before.
func (c *Cluster) changeMembers(ctx context.Context, _ *rpc.Peer, request wire.MembersRequest) (wire.MembersReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	lead := c.Leadership()
	if lead.Self {
		return c.addLearner(ctx, request), nil
	}
	refused := wire.MembersReply{Outcome: wire.Unavailable, Members: c.members(), Reason: "this node does not lead"}
	if request.Forwarded {
		return refused, nil
	}
	request.Forwarded = true
	var reply wire.MembersReply
	if err := c.forwardToLeader(ctx, lead, wire.MethodMembers, request, &reply); err != nil {
		refused.Reason = "it can't be passed on to the leader: " + err.Error()
		return refused, nil
	}
	return reply, nil
}

// addLearner makes a node a learner. This node must be the leader.
func (c *Cluster) addLearner(ctx context.Context, request wire.MembersRequest) wire.MembersReply {
	members := c.members()
	id := request.AddLearner
	if id == "" || members.IsVoter(id) || members.IsLearner(id) {
		return wire.MembersReply{Outcome: wire.Accepted, Members: members}
	}
	return c.proposeMembers(ctx, membersAfter(members, request))
}

// otherAddresses returns all known control node addresses except this node's own.
func (c *Cluster) otherAddresses() []string {
	c.addKnownMembers(c.members())
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for address := range c.knownAddresses {
		if address != c.Address() {
			list = append(list, address)
		}
	}
	return list
}

// AddKnownAddresses records the addresses of control nodes.
func (c *Cluster) AddKnownAddresses(addresses ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range addresses {
		c.knownAddresses[address] = true
	}
}

func (c *Cluster) addKnownMembers(members raft.Members) {
	for _, id := range members.All() {
		c.AddKnownAddresses(nameOf(id))
	}
}
