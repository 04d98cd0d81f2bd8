package control

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// joinTimeout bounds the asking of one node to be let in, which passes it on to the leader.
const joinTimeout = forwardTimeout + 150*time.Millisecond

// joinAnswer is what one node said to a node that asked to be let in.
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

// askToJoin asks all other nodes that are known to be let in as a learner, until one has
// reached the leader. It learns of further nodes from their answers.
func (c *Cluster) askToJoin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	asked := c.others()
	answers := make(chan joinAnswer, len(asked))
	for _, address := range asked {
		go func() { answers <- c.askNode(ctx, address) }()
	}
	accepted, reason := false, "no other control node is known"
	for range asked {
		answer := <-answers
		c.meetMembers(answer.reply.Members)
		accepted, reason = answer.accepted(), answer.reason()
		if accepted {
			break
		}
	}
	c.noteJoin(c.now(), accepted, reason)
}

func (c *Cluster) askNode(ctx context.Context, address string) joinAnswer {
	answer := joinAnswer{address: address}
	request := wire.MembersRequest{AddLearner: c.options.ID}
	answer.err = c.links.Client(address).Call(ctx, wire.MethodMembers, request, &answer.reply)
	return answer
}

// changeMembers lets a node in as a learner if this node leads; else it passes the request
// on to the leader, once.
func (c *Cluster) changeMembers(ctx context.Context, _ *rpc.Peer, request wire.MembersRequest) (wire.MembersReply, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	lead := c.Leadership()
	if lead.Self {
		return c.letIn(ctx, request), nil
	}
	refused := wire.MembersReply{Outcome: wire.Unavailable, Members: c.members(), Reason: "this node does not lead"}
	if request.Forwarded {
		return refused, nil
	}
	request.Forwarded = true
	var reply wire.MembersReply
	if err := c.passOn(ctx, lead, wire.MethodMembers, request, &reply); err != nil {
		refused.Reason = "it can't be passed on to the leader: " + err.Error()
		return refused, nil
	}
	return reply, nil
}

// letIn makes a node a learner; this node leads.
func (c *Cluster) letIn(ctx context.Context, request wire.MembersRequest) wire.MembersReply {
	members := c.members()
	id := request.AddLearner
	if id == "" || members.IsVoter(id) || members.IsLearner(id) {
		return wire.MembersReply{Outcome: wire.Accepted, Members: members}
	}
	return c.proposeMembers(ctx, wanted(members, request))
}

// others returns the addresses of all nodes ever heard of but this one.
func (c *Cluster) others() []string {
	c.meetMembers(c.members())
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

// Meet remembers the addresses of control nodes.
func (c *Cluster) Meet(addresses ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, address := range addresses {
		c.met[address] = true
	}
}

func (c *Cluster) meetMembers(members raft.Members) {
	for _, id := range members.All() {
		c.Meet(nameOf(id))
	}
}
