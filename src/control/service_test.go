package control

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// followerService returns the service of a node that follows a leader which can't be reached.
func followerService(t *testing.T) *Service {
	t.Helper()
	members := raft.Members{Voters: []raft.ID{"a#0", "b#0", "c#0"}}
	disk := &simDisk{start: raft.InitialState{Snapshot: raft.Snapshot{Members: members}}}
	replica, err := NewReplica("a#0", disk.start, Disk{Save: disk.save, SaveSnapshot: disk.saveSnapshot}, raft.DefaultOptions(), rand.New(rand.NewPCG(1, 1)), nil, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	node := NewNode(replica, func(raft.Message) {}, nil, time.Now)
	go func() { _ = node.Run(t.Context()) }()
	go func() {
		for t.Context().Err() == nil {
			node.Deliver(raft.Message{Kind: raft.MsgAppend, From: "b#0", To: "a#0", Term: 9})
			time.Sleep(10 * time.Millisecond)
		}
	}()
	closed, err := rpc.Listen("127.0.0.1:0", rpc.NewMux(), &rpc.Meter{})
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	return NewService(node, map[string]string{"b": closed.Address()}, nil, &rpc.Meter{}, nil, time.Now)
}

// Grants, settlements and changes of the membership answered an error where the leader gave no answer, while
// changes and claims answered that the outcome is unknown. A caller that takes an error for "not done" would be
// wrong: the leader may have acted on the request before its answer was lost.
func TestOutcomeIsUnknownWhenTheLeadersAnswerIsLost(t *testing.T) {
	is := is.New(t)
	s := followerService(t)
	ctx, calls := context.Background(), map[string]func() (wire.Outcome, error){}
	calls["apply"] = func() (wire.Outcome, error) {
		reply, err := s.apply(ctx, nil, wire.ApplyRequest{Change: config.Change{ID: "c"}})
		return reply.Outcome, err
	}
	calls["claim"] = func() (wire.Outcome, error) {
		reply, err := s.claim(ctx, nil, wire.ClaimRequest{Key: "k", Token: "t"})
		return reply.Outcome, err
	}
	calls["settle"] = func() (wire.Outcome, error) {
		reply, err := s.settle(ctx, nil, wire.SettleRequest{Key: "k", Token: "t"})
		return reply.Outcome, err
	}
	calls["grant"] = func() (wire.Outcome, error) {
		reply, err := s.grant(ctx, nil, wire.GrantRequest{Zone: "z", Holder: "p"})
		return reply.Outcome, err
	}
	calls["members"] = func() (wire.Outcome, error) {
		reply, err := s.members(ctx, nil, wire.MembersRequest{AddLearner: "d#1"})
		return reply.Outcome, err
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			for range 500 {
				outcome, err := call()
				is.NoErr(err)
				if outcome == wire.Unknown {
					return
				}
				is.Equal(outcome, wire.Unavailable) // no leader is known yet, so nothing was sent
				time.Sleep(10 * time.Millisecond)
			}
			t.Error("the outcome was never unknown")
		})
	}
}
