package fleet

import (
	"context"
	"sync"

	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// listQueues returns what waits in the queues of this control node, or of all.
func (c *controlNode) listQueues(ctx context.Context, _ *rpc.Peer, request wire.QueueListRequest) (wire.QueueList, error) {
	own := wire.QueueNode{Node: c.cluster.Address()}
	own.Groups, own.Refusals = c.queues.List()
	list := wire.QueueList{Nodes: []wire.QueueNode{own}}
	if request.All {
		list.Nodes = append(list.Nodes, c.listPeerQueues(ctx)...)
	}
	return list, nil
}

// listPeerQueues returns what waits in the queues of the other control nodes.
func (c *controlNode) listPeerQueues(ctx context.Context) []wire.QueueNode {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	addresses := c.cluster.Peers()
	nodes := make([]wire.QueueNode, len(addresses))
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() { nodes[i] = c.listQueuesOf(ctx, address) })
	}
	calls.Wait()
	return nodes
}

// listQueuesOf returns what waits in the queues of another control node.
func (c *controlNode) listQueuesOf(ctx context.Context, address string) wire.QueueNode {
	var list wire.QueueList
	if err := c.links.Client(address).Call(ctx, wire.MethodQueueList, wire.QueueListRequest{}, &list); err != nil {
		return wire.QueueNode{Node: address, Error: err.Error()}
	}
	if len(list.Nodes) != 1 {
		return wire.QueueNode{Node: address, Error: "it listed no queues"}
	}
	return list.Nodes[0]
}
