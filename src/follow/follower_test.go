package follow

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/option"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

func updateTo(index uint64) config.Update {
	return config.Update{Full: true, To: config.Revision{Term: 1, Index: index}}
}

// TestOnlyNewerPeersAreFollowed guards against losing a newer configuration to a peer with an older
// one in an availability zone that is cut off from every control node.
func TestOnlyNewerPeersAreFollowed(t *testing.T) {
	is := is.New(t)
	given := updateTo(7)
	mux := rpc.NewMux()
	mux.Handle(wire.MethodConfig, rpc.Typed(func(context.Context, *rpc.Peer, wire.ConfigRequest) (config.Update, error) { return given, nil }))
	peer, err := rpc.Listen("127.0.0.1:0", mux, &rpc.Meter{})
	is.NoErr(err)
	defer peer.Close()
	beat := func(config.Revision) wire.Heartbeat { return wire.Heartbeat{} }
	f := New([]option.Peer{{Name: "k", Address: "127.0.0.1:1"}}, "a", &rpc.Meter{}, nil, nil, beat)
	f.setPeers([]string{peer.Address()})
	f.fetchFromPeers(context.Background())
	is.Equal(f.Set().Revision().Index, uint64(7))
	given = updateTo(3)
	f.fetchFromPeers(context.Background())
	is.Equal(f.Set().Revision().Index, uint64(7)) // the configuration never goes back
	is.True(f.Await(context.Background(), time.Nanosecond))
}
