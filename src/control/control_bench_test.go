package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/store"
	"github.com/moorspool/moorspool/src/wire"
)

// benchControlNode is a control node that runs in the benchmark process with a real data folder and
// real connections.
type benchControlNode struct {
	name    string
	service *Service
	node    *Node
	stop    context.CancelFunc
	server  *rpc.Server
}

// startControlNodes starts n connected control nodes whose folders are synced to disk.
func startControlNodes(b *testing.B, n int) []*benchControlNode {
	b.Helper()
	var controlNodes []*benchControlNode
	muxes := map[string]*rpc.Mux{}
	addresses := map[string]string{}
	var members raft.Members
	meter := &rpc.Meter{}
	for i := 0; i < n; i++ {
		name := fmt.Sprint("k", i)
		muxes[name] = rpc.NewMux()
		server, err := rpc.Listen("127.0.0.1:0", muxes[name], meter)
		if err != nil {
			b.Fatal(err)
		}
		addresses[name] = server.Address()
		members.Voters = append(members.Voters, raft.ID(name+"#0"))
		controlNodes = append(controlNodes, &benchControlNode{name: name, server: server})
	}
	for i, k := range controlNodes {
		folder, start, err := store.Open(store.Options{Path: b.TempDir(), Cluster: "c", Name: k.name, Founder: true})
		if err != nil {
			b.Fatal(err)
		}
		start.Snapshot.Members = members
		disk := Disk{Save: folder.Save, SaveSnapshot: folder.SaveSnapshot}
		replica, err := NewReplica(folder.Identity().ID(), start, disk, raft.DefaultOptions(), rand.New(rand.NewPCG(uint64(i), 1)), nil, time.Now())
		if err != nil {
			b.Fatal(err)
		}
		var send func(raft.Message)
		k.node = NewNode(replica, func(m raft.Message) { send(m) }, nil, time.Now)
		peers := map[string]string{}
		for name, address := range addresses {
			if name != k.name {
				peers[name] = address
			}
		}
		k.service = NewService(k.node, peers, nil, meter, nil, time.Now)
		send = k.service.Send()
		k.service.Register(muxes[k.name])
		ctx, cancel := context.WithCancel(context.Background())
		k.stop = cancel
		go func() { _ = k.node.Run(ctx) }()
		b.Cleanup(func() { cancel(); k.server.Close() })
	}
	return controlNodes
}

func leaderOf(b *testing.B, controlNodes []*benchControlNode) *benchControlNode {
	b.Helper()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for _, k := range controlNodes {
			if k.service.leaderInfo().self {
				return k
			}
		}
	}
	b.Fatal("no leader")
	return nil
}

func benchChange(ctx context.Context, k *benchControlNode, id string) wire.Outcome {
	object := config.Object{Key: config.Key{Kind: config.KindModel, Name: "m"}, Model: &config.Model{Memory: 1, Version: id}}
	pool := config.Object{Key: config.Key{Kind: config.KindPool, Name: "p"}, Pool: &config.Pool{Accelerators: 1, Memory: 9, Zones: []config.PoolZone{{Zone: "z", Replicas: 1}}}}
	change := config.Change{ID: id, Base: config.Revision{Term: 1 << 40}, Put: []config.Object{object, pool}}
	reply, _ := k.service.apply(ctx, nil, wire.ApplyRequest{Change: change})
	return reply.Outcome
}

// claimAll claims n keys from the given number of concurrent callers and returns the time taken.
func claimAll(b *testing.B, k *benchControlNode, n, callers int) time.Duration {
	b.Helper()
	var next atomic.Int64
	var wait sync.WaitGroup
	began := time.Now()
	for c := 0; c < callers; c++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := next.Add(1); i <= int64(n); i = next.Add(1) {
				reply, _ := k.service.claim(context.Background(), nil, wire.ClaimRequest{Key: fmt.Sprint("key", i), Token: fmt.Sprint(i), Holder: "e"})
				if reply.State != wire.ClaimAcquired {
					b.Errorf("claim %d: %s %s", i, reply.Outcome, reply.State)
				}
			}
		}()
	}
	wait.Wait()
	return time.Since(began)
}

// BenchmarkControlNode compares three control nodes with a single one in the same run, both with
// real syncs. It also measures the time from the loss of the leader to the next accepted change.
func BenchmarkControlNode(b *testing.B) {
	const changes, claims, callers = 300, 20000, 128
	rates := map[int][2]float64{}
	for _, n := range []int{1, 3} {
		controlNodes := startControlNodes(b, n)
		leader := leaderOf(b, controlNodes)
		began := time.Now()
		for i := 0; i < changes; i++ {
			if outcome := benchChange(context.Background(), leader, fmt.Sprint("c", i)); outcome != wire.Accepted {
				b.Fatalf("change %d: %s", i, outcome)
			}
		}
		changeRate := changes / time.Since(began).Seconds()
		rates[n] = [2]float64{changeRate, claims / claimAll(b, leader, claims, callers).Seconds()}
		if n == 3 {
			b.ReportMetric(float64(measureFailover(b, controlNodes, leader))/float64(time.Millisecond), "leader-loss-to-change-ms")
		}
	}
	b.ReportMetric(rates[3][0], "changes/s")
	b.ReportMetric(rates[3][1], "claims/s")
	b.ReportMetric(rates[3][0]/rates[1][0], "changes-ratio-to-one-control-node")
	b.ReportMetric(rates[3][1]/rates[1][1], "claims-ratio-to-one-control-node")
	b.ReportMetric(0, "ns/op")
}

// measureFailover stops the leader and returns the time until another node accepts a change.
func measureFailover(b *testing.B, controlNodes []*benchControlNode, leader *benchControlNode) time.Duration {
	b.Helper()
	began := time.Now()
	leader.stop()
	leader.server.Close()
	for i := 0; time.Since(began) < 10*time.Second; i++ {
		for _, k := range controlNodes {
			if k != leader && k.service.leaderInfo().self && benchChange(context.Background(), k, fmt.Sprint("after", i)) == wire.Accepted {
				return time.Since(began)
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	b.Fatal("no change is accepted after the leader was lost")
	return 0
}

// BenchmarkControlNodeClaims measures the memory used by claims in the state.
func BenchmarkControlNodeClaims(b *testing.B) {
	const count = 100000
	for range b.N {
		before := heap()
		c := newClaims()
		for i := range count {
			c.apply(time.Unix(1_800_000_000, 0), &claimCommand{Key: fmt.Sprint("a-key-of-a-usual-length-", i), Token: fmt.Sprint(i), Holder: fmt.Sprint("entry-", i%340)})
		}
		b.ReportMetric(float64(heap()-before)/(1<<20), "MiB/100000-claims")
		if len(c.Keys) != count {
			b.Fatal("claims were lost")
		}
	}
}

func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
