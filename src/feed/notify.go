package feed

import (
	"context"
	"slices"
	"time"

	"github.com/moorspool/moorspool/src/rpc"
)

// NotifyLeader sends a notification to the leading control node, or to every connected one if none
// reports to be the leader.
func (f *Follower) NotifyLeader(ctx context.Context, method string, params any) {
	leaders, _ := f.leaders()
	for _, client := range leaders {
		_ = client.Notify(ctx, method, params)
	}
}

// NotifyOthers sends a notification to the connected control nodes that NotifyLeader leaves out.
func (f *Follower) NotifyOthers(ctx context.Context, method string, params any) {
	_, others := f.leaders()
	for _, client := range others {
		_ = client.Notify(ctx, method, params)
	}
}

// NotifyBest sends a notification to the most preferred healthy control node, or to any
// connected one if none is healthy. It chooses the same node until that one is no longer healthy or
// a more preferred one becomes healthy.
func (f *Follower) NotifyBest(ctx context.Context, method string, params any) {
	if client := f.bestClient(); client != nil {
		_ = client.Notify(ctx, method, params)
	}
}

// NotifyTwo sends a notification to the most preferred healthy control node and to one of another
// availability zone, so that what it tells outlasts the loss of one. It does not wait for either.
func (f *Follower) NotifyTwo(ctx context.Context, method string, params any) {
	for _, client := range f.twoClients() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_ = client.Notify(ctx, method, params)
		}()
	}
}

// twoClients returns the client of the best control node and that of the most preferred one of another
// availability zone, or of another one if there is no other zone.
func (f *Follower) twoClients() []*rpc.Client {
	first := f.bestClient()
	f.mu.Lock()
	defer f.mu.Unlock()
	ranked := f.ranked()
	at := slices.IndexFunc(ranked, func(s *source) bool { return s.client == first })
	if at < 0 {
		return nil
	}
	clients := []*rpc.Client{first}
	others := slices.Delete(ranked, at, at+1)
	for _, needOtherZone := range []bool{true, false} {
		for _, s := range others {
			if !needOtherZone || s.zone != f.options.Zone {
				return append(clients, s.client)
			}
		}
	}
	return clients
}

// NotifyConnected sends a notification to every connected control node.
func (f *Follower) NotifyConnected(ctx context.Context, method string, params any) {
	leaders, others := f.leaders()
	for _, client := range append(leaders, others...) {
		_ = client.Notify(ctx, method, params)
	}
}

// The limits of one call of CallHedged.
const (
	// hedgeDelay is how long CallHedged waits for an answer before it also calls another control
	// node: longer than an answer that has to be fetched from the leader, and shorter than the
	// first retransmission of a lost packet.
	hedgeDelay = 80 * time.Millisecond
	// maxAsked is how many control nodes CallHedged calls at most.
	maxAsked = 3
)

// CallHedged calls the most preferred healthy control node, and further ones while there is no
// answer. It returns the first successful reply and ignores the rest.
func CallHedged[R any](ctx context.Context, f *Follower, method string, params any) (R, error) {
	type answer struct {
		reply R
		err   error
	}
	clients := f.askOrder()
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
			next.Reset(hedgeDelay)
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

// CallEach calls the control nodes that CallHedged may call, all at once, and waits for their answers. It
// returns how many succeeded.
func CallEach(ctx context.Context, f *Follower, method string, params any) int {
	clients := f.askOrder()
	answers := make(chan error, len(clients))
	for _, client := range clients {
		go func() { answers <- client.Call(ctx, method, params, nil) }()
	}
	succeeded := 0
	for range clients {
		if err := <-answers; err == nil {
			succeeded++
		}
	}
	return succeeded
}

// CallBest calls only the most preferred healthy control node, or any connected one if none is
// healthy.
func CallBest[R any](ctx context.Context, f *Follower, method string, params any) (R, error) {
	var reply R
	client := f.bestClient()
	if client == nil {
		return reply, rpc.ErrUnreachable
	}
	err := client.Call(ctx, method, params, &reply)
	return reply, err
}

// CallWatched is CallBest for a call that may wait for long: it fails soon after the control node has
// become silent.
func CallWatched[R any](ctx context.Context, f *Follower, method string, params any, silence time.Duration) (R, error) {
	var reply R
	client := f.bestClient()
	if client == nil {
		return reply, rpc.ErrUnreachable
	}
	err := client.CallWatched(ctx, method, params, &reply, silence)
	return reply, err
}

// askOrder returns the control nodes for CallHedged to call, the most preferred ones first and
// connected ones before others.
func (f *Follower) askOrder() []*rpc.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	var clients []*rpc.Client
	if f.best != nil && f.best.live {
		clients = append(clients, f.best.client)
	}
	ranked := f.ranked()
	for _, live := range []bool{true, false} {
		for _, s := range ranked {
			if s.live == live && s != f.best && len(clients) < maxAsked {
				clients = append(clients, s.client)
			}
		}
	}
	return clients
}

// bestClient returns the client of the most preferred healthy control node, else of any connected
// one, else nil.
func (f *Follower) bestClient() *rpc.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.best != nil && f.best.live {
		return f.best.client
	}
	for _, s := range f.ranked() {
		if s.live {
			return s.client
		}
	}
	return nil
}

// leaders returns the connected nodes that report to be the leader, or all connected ones if none
// does, and the remaining ones.
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
