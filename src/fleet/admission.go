package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/admission"
	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/clock"
	"github.com/moorspool/moorspool/src/feed"
	"github.com/moorspool/moorspool/src/option"
	"github.com/moorspool/moorspool/src/quota"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wakeup"
	"github.com/moorspool/moorspool/src/wire"
)

// quotaParameters converts the settings of quotas.
func quotaParameters(s option.QuotaSetting) quota.Parameters {
	return quota.NewParameters(s.Window.Std(), s.Overage, s.Slack)
}

// askAdmission asks the nearest control node to admit a request.
func (g *gateway) askAdmission(ctx context.Context, request wire.AdmitRequest) (wire.AdmitReply, error) {
	return feed.CallHedged[wire.AdmitReply](ctx, g.follower, wire.MethodAdmit, request)
}

// returnDelay is how long units to be given back are collected.
const returnDelay = 10 * time.Millisecond

// unitReturns collects the units that a gateway gives back. It is safe for concurrent use.
type unitReturns struct {
	mu    sync.Mutex
	units map[string]float64
	added wakeup.Flag
}

func newUnitReturns() *unitReturns {
	return &unitReturns{units: map[string]float64{}, added: wakeup.New()}
}

// add adds units of an account.
func (r *unitReturns) add(account string, units float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.units[account] += units
	r.added.Raise()
}

// take returns the collected units, each of them once.
func (r *unitReturns) take() wire.AdmitReturn {
	r.mu.Lock()
	defer r.mu.Unlock()
	var returned wire.AdmitReturn
	for account, units := range r.units {
		returned.Units = append(returned.Units, wire.ReturnedUnits{Account: account, Units: units})
	}
	clear(r.units)
	return returned
}

// giveUnitsBack gives the collected units back to the nearest control node. Those that are lost on
// the way count as used.
func (g *gateway) giveUnitsBack(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.unitReturns.added.Raised():
		}
		time.Sleep(returnDelay)
		g.follower.NotifyBest(ctx, wire.MethodAdmitReturn, g.unitReturns.take())
	}
}

// inForce returns the version of the configuration that the gateway uses, and whether it requires
// API keys.
func (g *gateway) inForce() (version uint64, keyed bool) {
	table := g.handler.Table()
	if table == nil {
		return 0, false
	}
	return table.Version(), table.KeysRequired()
}

// buildGranter creates what admits the gateways' requests, and registers its methods.
func (c *controlNode) buildGranter() {
	c.granter = admission.NewGranter(admission.GranterOptions{
		Node:        c.settings.Peer(),
		Incarnation: rand.Uint64(),
		Parameters:  quotaParameters(c.settings.Quota),
		Leader:      admission.Leader{Lease: c.askLease, Reserve: c.askDraw},
		Leadership:  c.leadership,
		Confirmed:   c.relay.MajorityConfirmed,
		Record:      c.cluster.RecordExtension,
		Table:       c.table,
		Now:         clock.Now,
	})
	mux := c.proc.Mux()
	mux.Handle(wire.MethodAdmit, rpc.Typed(func(ctx context.Context, _ *rpc.Peer, request wire.AdmitRequest) (wire.AdmitReply, error) {
		return c.granter.Admit(ctx, request), nil
	}))
	mux.Handle(wire.MethodAdmitReturn, rpc.Typed(func(_ context.Context, _ *rpc.Peer, returned wire.AdmitReturn) (wire.Empty, error) {
		c.granter.GiveBack(returned)
		return wire.Empty{}, nil
	}))
	mux.Handle(wire.MethodLease, rpc.Typed(func(_ context.Context, _ *rpc.Peer, request wire.LeaseRequest) (wire.LeaseReply, error) {
		return c.granter.Lease(request), nil
	}))
	mux.Handle(wire.MethodDraw, rpc.Typed(func(ctx context.Context, _ *rpc.Peer, request wire.DrawRequest) (wire.DrawReply, error) {
		return c.granter.Reserve(ctx, request), nil
	}))
}

// table returns the newest configuration that this node has applied.
func (c *controlNode) table() *catalog.Table {
	return c.tableCache.get(c.cluster.Version(), c.cluster.Document)
}

// leadership returns what the granter needs to know of this node's leadership.
func (c *controlNode) leadership() admission.Leadership {
	lead := c.cluster.Leadership()
	if !lead.Self {
		return admission.Leadership{}
	}
	return admission.Leadership{Self: true, Version: lead.Version, Term: lead.Term, Members: c.cluster.Members(), Extensions: lead.Extensions}
}

// askLease requests a lease from the leader, which may be this node.
func (c *controlNode) askLease(ctx context.Context, request wire.LeaseRequest) (wire.LeaseReply, error) {
	if reply := c.granter.Lease(request); reply.Known {
		return reply, nil
	}
	var reply wire.LeaseReply
	err := c.cluster.CallLeader(ctx, wire.MethodLease, request, &reply)
	return reply, err
}

// askDraw asks the leader for quota that no control node holds.
func (c *controlNode) askDraw(ctx context.Context, request wire.DrawRequest) (wire.DrawReply, error) {
	if reply := c.granter.Reserve(ctx, request); reply.Admission != wire.AdmissionUnknown {
		return reply, nil
	}
	var reply wire.DrawReply
	err := c.cluster.CallLeader(ctx, wire.MethodDraw, request, &reply)
	return reply, err
}
