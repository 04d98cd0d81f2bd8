package planner

import (
	"context"
	"sync"
	"time"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/discovery"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/follow"
	"github.com/moorspool/moorspool/src/wire"
)

// The runner's times.
const (
	stepInterval   = 250 * time.Millisecond
	reportInterval = time.Second
	listInterval   = time.Second
	renewInterval  = time.Second
	grantTimeout   = 3 * time.Second
)

// Runner executes the decisions of a zone. It is safe for concurrent use.
type Runner struct {
	holder    string
	address   string
	zoneName  string
	follower  *follow.Follower
	control   *engine.ControlClient
	platform  *discovery.Reader
	publisher *Publisher
	ring      *event.Ring
	now       func() time.Time

	mu      sync.Mutex
	zone    *Zone
	polling map[string]bool
	// refusalReason is the reason in the last reply to a request for the authority.
	refusalReason string
}

// NewRunner returns a runner for a zone; holder identifies this process as the holder of the zone's
// authority.
func NewRunner(zone *Zone, zoneName, holder, address string, follower *follow.Follower, control *engine.ControlClient, list *discovery.Reader, ring *event.Ring, now func() time.Time) *Runner {
	r := &Runner{
		holder:   holder,
		address:  address,
		zoneName: zoneName,
		follower: follower,
		control:  control,
		platform: list,
		ring:     ring,
		now:      now,
		zone:     zone,
		polling:  map[string]bool{},
	}
	r.publisher = newPublisher(r)
	return r
}

// Run runs the zone until the context ends.
func (r *Runner) Run(ctx context.Context) {
	go r.every(ctx, listInterval, r.readList)
	go r.every(ctx, renewInterval, r.renew)
	go r.followConfig(ctx)
	r.every(ctx, stepInterval, r.step)
}

// every calls a function at an interval until the context ends.
func (r *Runner) every(ctx context.Context, period time.Duration, do func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		do(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// followConfig applies each new configuration to the zone.
func (r *Runner) followConfig(ctx context.Context) {
	for {
		changed := r.follower.Changed()
		r.mu.Lock()
		r.zone.SetConfig(r.follower.Set())
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// readList applies the platform's list of hosts and starts polling new ones.
func (r *Runner) readList(ctx context.Context) {
	list, _, err := r.platform.Read(ctx)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zone.Listed(list, r.now())
	for name := range r.zone.members {
		if !r.polling[name] {
			r.polling[name] = true
			go r.poll(ctx, name)
		}
	}
}

// poll requests the reports of a host until the host is gone.
func (r *Runner) poll(ctx context.Context, name string) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var last engine.Report
	for {
		address, known := r.addressOf(name)
		if !known {
			return
		}
		report, err := r.control.Report(ctx, address, last)
		if err == nil {
			last = report
			r.mu.Lock()
			r.zone.Reported(name, report, r.now())
			r.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// addressOf returns the address of a host that is polled, false if the host is gone.
func (r *Runner) addressOf(name string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.zone.members[name]
	if entry == nil {
		delete(r.polling, name)
		return "", false
	}
	return entry.listed.Address, true
}

// renew requests the zone's authority from the control nodes. The lease starts before the request
// is sent.
func (r *Runner) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	r.mu.Lock()
	request := wire.GrantRequest{Zone: r.zoneName, Holder: r.holder, Address: r.address, Epoch: r.zone.Epoch()}
	r.mu.Unlock()
	requestedAt := r.now()
	var reply wire.GrantReply
	if err := r.follower.Call(ctx, wire.MethodGrant, request, &reply); err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch reply.Outcome {
	case wire.Accepted:
		if r.zone.Epoch() != reply.Epoch {
			r.ring.Add(event.Event{Kind: event.AuthorityGranted, Zone: r.zoneName, Host: r.holder})
		}
		r.zone.SetAuthority(reply.Epoch, requestedAt.Add(reply.Lease.Std()))
	case wire.Refused:
		if r.zone.Epoch() != 0 {
			r.zone.loseAuthority(reply.Reason)
		}
	}
	r.refusalReason = reply.Reason
}

// step runs a step of the zone and sends its orders.
func (r *Runner) step(ctx context.Context) {
	r.mu.Lock()
	if r.follower.Set().Len() == 0 {
		r.mu.Unlock()
		return
	}
	orders := r.zone.Step(r.now(), r.publisher.appliedSeq(r.zone.Epoch(), r.now()))
	r.mu.Unlock()
	r.publisher.notifyChanged()
	for host, list := range byHost(orders) {
		go r.sendAll(ctx, host, list)
	}
}

// byHost groups orders by host.
func byHost(orders []HostOrder) map[string][]HostOrder {
	hosts := map[string][]HostOrder{}
	for _, order := range orders {
		hosts[order.Host] = append(hosts[order.Host], order)
	}
	return hosts
}

// sendAll sends the orders of a host one after the other, so that they arrive in sequence. The
// authority is checked right before each order is written.
func (r *Runner) sendAll(ctx context.Context, _ string, orders []HostOrder) {
	for _, hostOrder := range orders {
		r.mu.Lock()
		allowed := r.zone.MaySend(hostOrder, r.now())
		if !allowed {
			r.zone.OrderNotSent(hostOrder)
		}
		r.mu.Unlock()
		if !allowed {
			continue
		}
		reply, err := r.control.Order(ctx, hostOrder.Address, hostOrder.Order)
		r.mu.Lock()
		if err != nil {
			r.zone.OrderUnanswered(hostOrder)
		} else {
			r.zone.OrderAnswered(hostOrder, reply)
		}
		r.mu.Unlock()
	}
}

// Status returns the planner status.
func (r *Runner) Status() *wire.PlannerStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	status := r.zone.Status()
	status.Authority = r.refusalReason
	if status.Epoch != 0 {
		status.Authority = r.holder
	}
	return status
}

// Revision returns the revision of the configuration in force.
func (r *Runner) Revision() config.Revision { return r.follower.Set().Revision() }
