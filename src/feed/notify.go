package feed

import (
	"context"

	"github.com/moorspool/moorspool/src/rpc"
)

// NotifyLeader sends a notification to the control node that leads; to every one
// in reach if none says that it does.
func (f *Follower) NotifyLeader(ctx context.Context, method string, params any) {
	leaders, _ := f.leaders()
	for _, client := range leaders {
		_ = client.Notify(ctx, method, params)
	}
}

// NotifyOthers sends a notification to the control nodes that NotifyLeader leaves out.
func (f *Follower) NotifyOthers(ctx context.Context, method string, params any) {
	_, others := f.leaders()
	for _, client := range others {
		_ = client.Notify(ctx, method, params)
	}
}

// NotifyNearest sends a notification to the best sound control node, or to any that is
// in reach; the same one as long as it is sound.
func (f *Follower) NotifyNearest(ctx context.Context, method string, params any) {
	if client := f.nearestClient(); client != nil {
		_ = client.Notify(ctx, method, params)
	}
}

func (f *Follower) nearestClient() *rpc.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.first != nil && f.first.live {
		return f.first.client
	}
	for _, s := range f.ranked() {
		if s.live {
			return s.client
		}
	}
	return nil
}

// leaders returns the nodes in reach that say that they lead, or all if none
// does, and the others.
func (f *Follower) leaders() (leaders, others []*rpc.Client) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sources {
		switch {
		case !s.live:
		case s.leading:
			leaders = append(leaders, s.client)
		default:
			others = append(others, s.client)
		}
	}
	if len(leaders) == 0 {
		return others, nil
	}
	return leaders, others
}
