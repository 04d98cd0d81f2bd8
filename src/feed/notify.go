package feed

import (
	"context"
	"time"

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

// The bounds of one ask.
const (
	// askNext is after how long without an answer another control node is asked as well:
	// longer than an answer takes that has to be fetched from the leader, and shorter than
	// the first repeat of a packet that was lost.
	askNext = 80 * time.Millisecond
	// askAtMost is how many control nodes are asked before an ask is given up.
	askAtMost = 3
)

// Ask calls the best sound control node, and others beside it while there is no answer; it
// returns the first one's and drops the rest.
func Ask[R any](ctx context.Context, f *Follower, method string, params any) (R, error) {
	type answer struct {
		reply R
		err   error
	}
	clients := f.toAsk()
	answers := make(chan answer, len(clients))
	next := time.NewTimer(0)
	defer next.Stop()
	last := answer{err: rpc.ErrUnreachable}
	for asked, answered := 0, 0; answered < len(clients); {
		select {
		case <-next.C:
			if asked == len(clients) {
				continue
			}
			client := clients[asked]
			asked++
			go func() {
				var one answer
				one.err = client.Call(ctx, method, params, &one.reply)
				answers <- one
			}()
			next.Reset(askNext)
		case last = <-answers:
			answered++
			if last.err == nil {
				return last.reply, nil
			}
			next.Reset(0)
		case <-ctx.Done():
			return last.reply, ctx.Err()
		}
	}
	return last.reply, last.err
}

// AskOne calls the best sound control node alone.
func AskOne[R any](ctx context.Context, f *Follower, method string, params any) (R, error) {
	var reply R
	client := f.nearestClient()
	if client == nil {
		return reply, rpc.ErrUnreachable
	}
	err := client.Call(ctx, method, params, &reply)
	return reply, err
}

// toAsk returns the control nodes to ask, best first: those in reach before others.
func (f *Follower) toAsk() []*rpc.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	var clients []*rpc.Client
	if f.first != nil && f.first.live {
		clients = append(clients, f.first.client)
	}
	ranked := f.ranked()
	for _, live := range []bool{true, false} {
		for _, s := range ranked {
			if s.live == live && s != f.first && len(clients) < askAtMost {
				clients = append(clients, s.client)
			}
		}
	}
	return clients
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
