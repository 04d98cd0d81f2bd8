package control

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// Notifications on a connection are handled in order, and votes once shared a connection with
// demand, load and backlog reports. When one of those waited for the CPU, all votes waited too, and
// after a full power loss there was no leader for seconds.
func TestVoteDoesNotWaitForOtherNotifications(t *testing.T) {
	is := is.New(t)
	held, release, stepped := make(chan struct{}), make(chan struct{}), make(chan raft.Message)
	mux := rpc.NewMux()
	mux.Handle(wire.MethodUsage, rpc.Typed(func(context.Context, *rpc.Peer, wire.Usage) (wire.Empty, error) {
		close(held)
		<-release
		return wire.Empty{}, nil
	}))
	mux.Handle(wire.MethodStep, rpc.Typed(func(_ context.Context, _ *rpc.Peer, m raft.Message) (wire.Empty, error) {
		stepped <- m
		return wire.Empty{}, nil
	}))
	server, err := rpc.Listen("127.0.0.1:0", mux, &rpc.Meter{})
	is.NoErr(err)
	defer server.Close()
	defer close(release)
	links := NewLinks(&rpc.Meter{}, nil)
	is.NoErr(links.Client(server.Address()).Notify(t.Context(), wire.MethodUsage, wire.Usage{}))
	<-held
	vote := raft.Message{Kind: raft.MsgVote, From: "a#0", To: raft.ID(server.Address() + "#0")}
	links.Send(vote)
	is.Equal((<-stepped).From, vote.From)
}
