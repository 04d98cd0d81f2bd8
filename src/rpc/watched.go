package rpc

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrSilent is returned by watched calls if the peer stops responding.
var ErrSilent = errors.New("the peer is silent")

// watchedCalls are the calls in progress that end when the peer is silent. A call may wait for long
// at a peer that is alive, so the time it takes says nothing about the peer.
type watchedCalls struct {
	mu      sync.Mutex
	last    uint64
	cancels map[uint64]context.CancelCauseFunc
	running bool
}

// CallWatched sends a request and waits for the response, for as long as the peer sends anything. It
// fails with ErrSilent if the peer has sent nothing for the given time and then does not answer a
// ping within the same time. The connection stays open.
func (c *Client) CallWatched(ctx context.Context, method string, params, result any, silence time.Duration) error {
	conn, err := c.connectWithin(ctx, 2*silence)
	if err != nil {
		return err
	}
	raw, err := encode(params)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	id := conn.watch(cancel, silence)
	defer conn.unwatch(id)
	c.meter.sent(method, len(raw))
	err = conn.call(ctx, method, raw, result)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return cause
	}
	return err
}

// connectWithin returns the open connection, or opens one within the given time.
func (c *Client) connectWithin(ctx context.Context, limit time.Duration) (*connection, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, limit, ErrSilent)
	defer cancel()
	conn, err := c.connect(ctx)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return nil, cause
	}
	return conn, err
}

// watch adds a call that is cancelled when the peer is silent.
func (c *connection) watch(cancel context.CancelCauseFunc, silence time.Duration) uint64 {
	w := &c.watched
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancels == nil {
		w.cancels = map[uint64]context.CancelCauseFunc{}
	}
	w.last++
	w.cancels[w.last] = cancel
	if !w.running {
		w.running = true
		go c.watchPeer(silence)
	}
	return w.last
}

func (c *connection) unwatch(id uint64) {
	c.watched.mu.Lock()
	defer c.watched.mu.Unlock()
	delete(c.watched.cancels, id)
}

// watchPeer sends pings to a silent peer while there are watched calls.
func (c *connection) watchPeer(silence time.Duration) {
	wait := silence
	for {
		select {
		case <-c.DisconnectNotify():
			return
		case <-time.After(wait):
		}
		if !c.watched.continues() {
			return
		}
		if wait = silence - c.raw.silentFor(); wait > 0 {
			continue
		}
		wait = silence
		ctx, cancel := context.WithTimeout(context.Background(), silence)
		err := c.Call(ctx, methodPing, struct{}{}, nil)
		cancel()
		if err != nil {
			c.watched.cancelAll()
		}
	}
}

// continues reports whether there are watched calls; if not, the watch ends.
func (w *watchedCalls) continues() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = len(w.cancels) > 0
	return w.running
}

// cancelAll fails all watched calls.
func (w *watchedCalls) cancelAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, cancel := range w.cancels {
		cancel(ErrSilent)
	}
	clear(w.cancels)
}
