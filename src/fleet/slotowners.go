package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/wire"
)

// errAssignsNone means that a node has answered that it assigns no slots.
var errAssignsNone = errors.New("it assigns no slots")

// slotOwners forwards requests for slots of plain services to the control nodes that own these
// services. Two nodes that assign the same slots for a moment, as after a partition, send more
// requests to a replica than it has slots, which it queues or rejects.
type slotOwners struct {
	// self is the address of this node.
	self string
	// owner returns the address of the node that owns a service.
	owner func(service string) string
	// markLost excludes a node from the owners until it answers again.
	markLost func(address string, err error)
	// assign waits for a slot that this node assigns, call for one of another node.
	assign func(ctx context.Context, request wire.PlaceRequest) wire.PlaceReply
	call   func(ctx context.Context, address string, request wire.PlaceRequest) (wire.PlaceReply, error)
	// giveBack releases a slot that comes after its request was given up.
	giveBack func(wire.PlaceRelease)
	now      func() time.Time
}

// place waits for a slot. If the owner is lost, this node assigns one in the time that is left.
func (o *slotOwners) place(ctx context.Context, request wire.PlaceRequest) wire.PlaceReply {
	startedAt := o.now()
	address := o.owner(request.Service)
	if address == o.self {
		return o.assignHere(ctx, request)
	}
	late := withLateSlot(ctx, request.Service, func(release wire.PlaceRelease) {
		release.Owner = address
		o.giveBack(release)
	})
	reply, err := o.call(late, address, request)
	if err == nil && reply.Known {
		reply.Owner = address
		return reply
	}
	if ctx.Err() != nil {
		return wire.PlaceReply{}
	}
	if err == nil {
		err = errAssignsNone
	}
	o.markLost(address, err)
	request.WithinMS -= o.now().Sub(startedAt).Milliseconds()
	return o.assignHere(ctx, request)
}

func (o *slotOwners) assignHere(ctx context.Context, request wire.PlaceRequest) wire.PlaceReply {
	reply := o.assign(ctx, request)
	reply.Owner = o.self
	return reply
}
