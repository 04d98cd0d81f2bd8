package fleet

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/dispatch"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// withLateSlot returns a context for a call for a slot: one that is assigned after the call was given up, as the request
// waited at a node that stood still, is released.
func withLateSlot(ctx context.Context, service string, release func(wire.PlaceRelease)) context.Context {
	return rpc.WithLateReply(ctx, func(reply wire.PlaceReply) {
		if reply.Ticket != 0 {
			release(unusedSlot(service, reply))
		}
	})
}

// releaseIfHungUp releases an assigned slot if its caller turns out to have hung up. What waited while this node stood
// still may come together with the end of its connection.
func releaseIfHungUp(ctx context.Context, service string, reply wire.PlaceReply, release func(wire.PlaceRelease)) {
	if reply.Ticket == 0 {
		return
	}
	stop := context.AfterFunc(ctx, func() { release(unusedSlot(service, reply)) })
	time.AfterFunc(hangUpWait, func() { stop() })
}

// unusedSlot returns the release of a slot that no request was sent with.
func unusedSlot(service string, reply wire.PlaceReply) wire.PlaceRelease {
	return wire.PlaceRelease{Service: service, Ticket: reply.Ticket, Owner: reply.Owner, Outcome: string(dispatch.Unused)}
}
