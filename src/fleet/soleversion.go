package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/exchange"
	"github.com/moorspool/moorspool/src/feed"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/resume"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

const (
	// formerMemberTime is how long a control node that was removed may still serve gateways that are cut off with it.
	formerMemberTime = 10 * time.Minute
	// memberNoteInterval is how often the members are noted.
	memberNoteInterval = time.Second
)

// errNotAllAnswered means that a control node can't say which software versions gateways were told of.
var errNotAllAnswered = errors.New("not all control nodes have answered")

// versionWitness answers for a control node which software versions it and the others know.
//
// A gateway learns of a replica and of a configuration from a control node that knows it already, whether or not
// that one reaches any other. So what has begun a stream is known to one of them, and a majority is not enough. One
// that has started lately has forgotten what it told: its census is younger than resume.SettleTime.
type versionWitness struct {
	versions *resume.Versions
	now      func() time.Time
	// members returns all control nodes, sorted, and peers the others.
	members func() []string
	peers   func() []string
	// config returns the version of the applied configuration.
	config func() uint64
	ask    func(ctx context.Context, address string, request wire.SoleVersionRequest) (wire.SoleVersionReply, error)

	mu sync.Mutex
	// seenAt is when each address was last one of a member.
	seenAt map[string]time.Time
}

// noteMembers records who the members are.
func (w *versionWitness) noteMembers() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for _, address := range w.members() {
		w.seenAt[address] = now
	}
	for address, at := range w.seenAt {
		if now.Sub(at) > formerMemberTime {
			delete(w.seenAt, address)
		}
	}
}

// removedLately reports whether a control node that may still serve gateways is none of the members.
func (w *versionWitness) removedLately(members []string) bool {
	w.noteMembers()
	w.mu.Lock()
	defer w.mu.Unlock()
	for address := range w.seenAt {
		if !slices.Contains(members, address) {
			return true
		}
	}
	return false
}

// setReplicas counts the changes of the merged list, before any gateway is told of them.
func (w *versionWitness) setReplicas(changes registry.Changes) {
	now := w.now()
	for i := range changes.Entries {
		record := &changes.Entries[i].Record
		w.versions.List(now, record.ID, record.Service, record.SoftwareVersion)
	}
	for _, id := range changes.Removed {
		w.versions.Remove(now, id)
	}
}

// handle answers a gateway, or another control node that asks for its own answer.
func (w *versionWitness) handle(ctx context.Context, _ *rpc.Peer, request wire.SoleVersionRequest) (wire.SoleVersionReply, error) {
	members := w.members()
	if len(members) == 0 || request.Members != nil && !slices.Equal(request.Members, members) {
		return wire.SoleVersionReply{}, errors.Wrap(errNotAllAnswered, "the members are not known")
	}
	if w.removedLately(members) {
		return wire.SoleVersionReply{}, errors.Wrap(errNotAllAnswered, "one was removed lately")
	}
	own := w.own(request.Service)
	if request.Members != nil || own.SoftwareVersion == "" {
		return own, nil
	}
	return w.askOthers(ctx, wire.SoleVersionRequest{Service: request.Service, Members: members}, own)
}

// own returns what this control node knows.
func (w *versionWitness) own(service string) wire.SoleVersionReply {
	version, _, sole := w.versions.Sole(w.now(), service)
	if !sole {
		version = ""
	}
	return wire.SoleVersionReply{SoftwareVersion: version, Config: w.config()}
}

// askOthers adds what all other control nodes know to what this one does.
func (w *versionWitness) askOthers(ctx context.Context, request wire.SoleVersionRequest, known wire.SoleVersionReply) (wire.SoleVersionReply, error) {
	ctx, cancel := context.WithTimeout(ctx, originAskTimeout)
	defer cancel()
	type answer struct {
		reply wire.SoleVersionReply
		err   error
	}
	peers := w.peers()
	answers := make(chan answer, len(peers))
	for _, address := range peers {
		go func() {
			reply, err := w.ask(ctx, address, request)
			answers <- answer{reply, err}
		}()
	}
	var failed error
	for range peers {
		got := <-answers
		switch {
		case got.err != nil:
			failed = errors.Wrap(errNotAllAnswered, got.err.Error())
		case got.reply.SoftwareVersion != known.SoftwareVersion:
			return wire.SoleVersionReply{}, nil
		}
		known.Config = max(known.Config, got.reply.Config)
	}
	if failed != nil {
		return wire.SoleVersionReply{}, failed
	}
	return known, nil
}

// buildWitness creates the witness and registers its method.
func (c *controlNode) buildWitness(now func() time.Time) {
	c.witness = &versionWitness{
		versions: resume.NewVersions(),
		seenAt:   map[string]time.Time{},
		now:      now,
		members:  c.cluster.Members,
		peers:    c.cluster.Peers,
		config:   c.cluster.Version,
		ask: func(ctx context.Context, address string, request wire.SoleVersionRequest) (reply wire.SoleVersionReply, err error) {
			err = c.links.Client(address).Call(ctx, wire.MethodSoleVersion, request, &reply)
			return reply, err
		},
	}
	c.proc.Mux().Handle(wire.MethodSoleVersion, rpc.Typed(c.witness.handle))
}

// soleVersion asks the control nodes for the only software version of a service.
func (g *gateway) soleVersion(ctx context.Context, service string) (exchange.SoleVersion, bool) {
	defer g.origins.searches.Add(-1)
	if g.origins.searches.Add(1) > maxOriginSearches {
		return exchange.SoleVersion{}, false
	}
	reply, err := feed.CallHedged[wire.SoleVersionReply](ctx, g.follower, wire.MethodSoleVersion, wire.SoleVersionRequest{Service: service})
	return exchange.SoleVersion{SoftwareVersion: reply.SoftwareVersion, Config: reply.Config}, err == nil && reply.SoftwareVersion != ""
}
