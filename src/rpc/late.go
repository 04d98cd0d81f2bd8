package rpc

import (
	"context"
	"encoding/json"
	"time"
)

// lateReplyWait is how long the reply to a call that was given up is waited for. A peer that sends nothing for as long
// loses its connection before.
const lateReplyWait = 5 * time.Second

// lateReplyKey is the key of the function for late replies in a context.
type lateReplyKey struct{}

// WithLateReply returns a context for a call whose reply needs handling even if it comes after the call was given up:
// handle is called with it then.
func WithLateReply[R any](ctx context.Context, handle func(R)) context.Context {
	return context.WithValue(ctx, lateReplyKey{}, func(raw json.RawMessage) {
		var reply R
		if err := json.Unmarshal(raw, &reply); err == nil {
			handle(reply)
		}
	})
}

// call sends a request and waits for the response, see WithLateReply.
func (c *connection) call(ctx context.Context, method string, raw json.RawMessage, result any) error {
	handle, _ := ctx.Value(lateReplyKey{}).(func(json.RawMessage))
	if handle == nil {
		return c.Call(ctx, method, raw, result)
	}
	pending, err := c.DispatchCall(ctx, method, raw)
	if err != nil {
		return err
	}
	if err = pending.Wait(ctx, result); err == nil || ctx.Err() == nil {
		return err
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), lateReplyWait)
		defer cancel()
		var late json.RawMessage
		if err := pending.Wait(ctx, &late); err == nil {
			handle(late)
		}
	}()
	return err
}
