package exchange

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/resume"
)

const (
	// originFindTimeout bounds the search for the origin of a stream that a client takes up.
	originFindTimeout = 200 * time.Millisecond
	// originWithdrawTimeout bounds the withdrawal of a record, before which the client must not be back.
	originWithdrawTimeout = 150 * time.Millisecond
	// originRenewal is how often the record of a stream in progress is renewed.
	originRenewal = resume.Retention / 3
)

// Origins records which software began the streams of all gateways.
type Origins struct {
	// Store records the origin of a stream. It must not block.
	Store func(key resume.Key, origin resume.Origin)
	// Withdraw makes the origin of a stream unknown to all gateways, and waits until they can know.
	Withdraw func(ctx context.Context, key resume.Key)
	// Find finds the record of a stream, and returns false if there is none. The origin in it is not known if it was
	// withdrawn.
	Find func(ctx context.Context, key resume.Key) (resume.Finding, bool)
	// SoleVersion asks all control nodes for the only software version of a service, and returns false unless
	// each of them answers. It is nil if there are none.
	SoleVersion func(ctx context.Context, service string) (SoleVersion, bool)
}

// SoleVersion is what all control nodes knew of a service after they were asked.
type SoleVersion struct {
	// SoftwareVersion is the only one for resume.SettleTime, "" if there is none.
	SoftwareVersion string
	// Config is the newest version of the configuration that any of them has applied.
	Config uint64
}

// streamOrigin is what a call knows of the origin of its stream.
type streamOrigin struct {
	resume.Binding
	// key identifies the client attempt that brought the first event of the stream.
	key resume.Key
	// writer is the replica that wrote the first event, nil if it was not passed on by this gateway.
	writer *Peer
	// checked is set once the start of the writer was asked for.
	checked bool
	// storedAt is when the origin was last recorded.
	storedAt time.Time
}

// resolveOrigin finds the origin of a stream that the client takes up, and makes its service the one of
// the request. It responds to the client and returns false if the stream can't go on.
func (c *call) resolveOrigin() bool {
	if c.route.Kind != catalog.Streaming {
		return true
	}
	c.origin.key = c.attemptKey(c.requestInfo.ID)
	if c.requestInfo.Resumes == "" && c.requestInfo.ResumeAfter == "" {
		return true
	}
	if c.origin.Unbound() {
		c.findOrigin()
	}
	if c.origin.Unbound() && c.requestInfo.ResumeAfter == "" {
		// The client asks for the whole stream.
		return true
	}
	if c.requestInfo.Resumes != "" {
		c.origin.key = c.attemptKey(c.requestInfo.Resumes)
	}
	origin, known := c.origin.Origin()
	switch {
	case !known:
		c.refuseResume("it is not known which software version began the stream")
	case !c.route.Serves(origin.Service):
		c.refuseResume("the route no longer leads to service " + origin.Service + ", which began the stream")
	default:
		c.selectService(origin.Service)
		return true
	}
	return false
}

// attemptKey returns the key of an attempt of the request's account on its route.
func (c *call) attemptKey(attempt string) resume.Key {
	return resume.NewKey(c.accountName(), c.route.Name, attempt)
}

// findOrigin binds the stream to the origin that is recorded for the attempt that the client named. A
// service with a single version needs no record.
func (c *call) findOrigin() {
	ctx, cancel := context.WithTimeout(c.request.Context(), originFindTimeout)
	defer cancel()
	if find := c.handler.options.Origins.Find; find != nil && c.requestInfo.Resumes != "" {
		if finding, found := find(ctx, c.attemptKey(c.requestInfo.Resumes)); found {
			if finding.Origin.Known() || c.requestInfo.ResumeAfter != "" {
				c.bindFinding(finding)
			}
			return
		}
	}
	if finding, found := c.soleOrigin(ctx); found {
		c.bindFinding(finding)
	}
}

// soleOrigin returns the origin of the stream if only one can have begun it. A stream may have begun and broken
// off at another gateway just before the request arrived, so what this gateway was told is not enough: all control
// nodes are asked, since a gateway learns of each replica and configuration from one of them.
func (c *call) soleOrigin(ctx context.Context) (resume.Finding, bool) {
	h := c.handler
	ask := h.options.Origins.SoleVersion
	if ask == nil || c.route.Timeout > resume.Retention || !c.configConfirmed() || !h.options.Fleet.leadsOnlyTo(h.options.Now(), c.route, c.service) {
		return resume.Finding{}, false
	}
	version, age, sole := h.options.Fleet.soleVersion(h.options.Now(), c.service)
	if !sole {
		return resume.Finding{}, false
	}
	told, known := ask(ctx, c.service)
	if !known || told.SoftwareVersion != version || told.Config > c.version {
		return resume.Finding{}, false
	}
	return resume.Finding{Origin: resume.Origin{Service: c.service, SoftwareVersion: version}, Evidence: resume.SoleVersion, Age: age}, true
}

// bindFinding binds the stream to an origin that was found, as of the time of the evidence.
func (c *call) bindFinding(f resume.Finding) {
	c.origin.Bind(c.handler.options.Now().Add(-f.Age), f.Origin, f.Evidence)
}

// refuseResume refuses a request that takes up a stream which can't go on at this gateway, however
// long the client waits. Another gateway may know more, so the connection is closed.
func (c *call) refuseResume(reason string) {
	c.noReturn = true
	c.writer.Header().Set("Connection", "close")
	c.logOrigin(event.StreamNotResumed, reason)
	c.handler.options.Metrics.StreamsNotResumed.Inc(1)
	c.refuse(http.StatusServiceUnavailable, reason)
}

// logOrigin logs why a stream goes on, or why it does not.
func (c *call) logOrigin(kind event.Kind, reason string) {
	h := c.handler
	h.options.Ring.Add(event.Event{Kind: kind, Request: c.requestInfo.ID, Model: modelName(c.requestInfo), Reason: c.origin.Describe(h.options.Now()) +
		", resumes " + strconv.Quote(shorten(c.requestInfo.Resumes)) + " after event " + strconv.Quote(shorten(c.resumeAfter())) + ": " + reason})
}

// maxLoggedID is the length to which IDs that clients choose are cut in log lines.
const maxLoggedID = 64

func shorten(id string) string { return id[:min(len(id), maxLoggedID)] }

// mayWrite reports whether the writer of a response may write to the client's stream.
func (c *call) mayWrite(peer *Peer, origin resume.Origin) bool {
	c.revokeDoubted()
	if c.origin.Allows(origin) {
		return true
	}
	reason := peer.ID() + " runs software " + strconv.Quote(origin.SoftwareVersion)
	c.logOrigin(event.StreamNotResumed, reason)
	c.reason += "; " + reason + ", the stream is " + c.origin.Describe(c.handler.options.Now())
	return false
}

// noteResumed logs that the stream goes on at a replica, and counts it if its client took it up.
func (c *call) noteResumed(peer *Peer) {
	if !c.stream.started {
		c.handler.options.Metrics.StreamsResumed.Inc(1)
	}
	c.logOrigin(event.StreamResumed, "goes on at "+peer.ID())
}

// bindOrigin binds the stream to the writer of the first event that is passed on, and records it.
func (c *call) bindOrigin(peer *Peer, origin resume.Origin) {
	// The origin may be revoked as the stream breaks off, which the gateway that forwarded it would not learn.
	revocable := c.origin.Unbound() && peer.startedMS() != 0
	if c.origin.Unbound() {
		c.origin.writer = peer
		peer.noteBegun(c.handler.options.Now(), c.origin.key)
	}
	c.origin.Bind(c.handler.options.Now(), origin, resume.Written)
	if c.forwarded && origin.Known() && !revocable {
		c.writer.Header().Set(headerForwardService, origin.Service)
		c.writer.Header().Set(headerForwardSoftware, origin.SoftwareVersion)
	}
	c.storeOrigin()
}

// storeOrigin records the origin of the stream for the client's next attempt, and again while the
// stream lasts.
func (c *call) storeOrigin() {
	h := c.handler
	origin, known := c.origin.Origin()
	now := h.options.Now()
	if !known || h.options.Origins.Store == nil || !c.route.Idempotent() || now.Sub(c.origin.storedAt) < originRenewal {
		return
	}
	c.origin.storedAt = now
	h.options.Origins.Store(c.origin.key, origin)
}

// setForwardedOrigin takes over the origin that the gateway which forwarded the request knows.
func (c *call) setForwardedOrigin() {
	if origin := forwardedOrigin(c.request.Header); origin.Known() {
		c.origin.Bind(c.handler.options.Now(), origin, resume.Forwarded)
	}
}

// forwardedOrigin returns the origin in the headers of another gateway.
func forwardedOrigin(header http.Header) resume.Origin {
	return resume.Origin{Service: header.Get(headerForwardService), SoftwareVersion: header.Get(headerForwardSoftware)}
}

// origin returns what writes the replica's responses.
func (p *Peer) origin() resume.Origin {
	p.mu.Lock()
	defer p.mu.Unlock()
	return resume.Origin{Service: p.service, SoftwareVersion: p.software.Version()}
}

// softwareVersion returns the version of the replica's software, "" if it is not known.
func (p *Peer) softwareVersion() string { return p.origin().SoftwareVersion }

// learnSoftware adds a reported software version of the replica.
func (p *Peer) learnSoftware(version string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.software.Learn(version)
}

// soleVersion returns the only software version of the replicas that may have begun a stream of a service
// which still lasts, and for how long it has been the only one.
func (f *Fleet) soleVersion(now time.Time, service string) (version string, age time.Duration, sole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	census := f.census[service]
	if census == nil {
		return "", 0, false
	}
	return census.Sole(now)
}

// countVersion counts a listed replica by its software version; the lock is held.
func (f *Fleet) countVersion(peer *Peer) {
	version := peer.softwareVersion()
	if peer.counted && version == peer.countedVersion {
		return
	}
	f.uncountVersion(peer)
	census := f.census[peer.service]
	if census == nil {
		census = &resume.Census{}
		f.census[peer.service] = census
	}
	census.Add(f.now(), version)
	peer.counted, peer.countedVersion = true, version
}

// uncountVersion counts a replica no longer; the lock is held.
func (f *Fleet) uncountVersion(peer *Peer) {
	if !peer.counted {
		return
	}
	f.census[peer.service].Remove(f.now(), peer.countedVersion)
	peer.counted = false
}

// mayServe reports whether a replica may serve a request, whatever its state: it is in a region that the
// request is allowed in, and its software began the stream that the request goes on with.
func (f *Fleet) mayServe(want *Requirements, zone string, peer *Peer) bool {
	return f.residencyAllows(want, zone) && (want.Origin.Unbound() || want.Origin.Allows(peer.origin()))
}
