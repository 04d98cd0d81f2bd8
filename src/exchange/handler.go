package exchange

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/dispatch"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/quarantine"
	"github.com/moorspool/moorspool/src/ratelimit"
	"github.com/moorspool/moorspool/src/wire"
)

// Timeouts and limits of the handler.
const (
	// maxSends is the maximum number of replicas that one request is sent to if none of them runs
	// it.
	maxSends = 4
	// defaultTimeout applies if neither the client nor the route sets one.
	defaultTimeout = 30 * time.Second
	// responseMargin is subtracted from a request's deadline for the way of the response back to
	// the client.
	responseMargin = 20 * time.Millisecond
	// replicaPollInterval is how often a waiting request looks for a replica.
	replicaPollInterval = 10 * time.Millisecond
	// maxCopyWaitShare is the share of its target that a request waits for a copy of its model.
	maxCopyWaitShare = 0.22
	// maxDiscoveryWaitShare is that share while the gateway is still discovering replicas.
	maxDiscoveryWaitShare = 0.6
	// maxConfigWait is how long a request waits in a gateway that has just started and has no
	// configuration yet. After a power loss control nodes start about 0.3 s later than gateways,
	// and a refused client would certainly be late.
	maxConfigWait = 300 * time.Millisecond
)

// Options configure a handler.
type Options struct {
	Codec  Codec
	Fleet  *Fleet
	Budget BudgetLimits
	// Admission admits the requests of client accounts. It is used only if the configuration
	// requires keys.
	Admission Admission
	// Slots assigns slots of services that have fewer slots than there are gateways.
	Slots Slots
	// Places gives places at replicas with small batches that have no room.
	Places Places
	// Permits issues permits for requests to cold and rate-limited replicas.
	Permits Permits
	// Origins records which software began the streams.
	Origins Origins
	// ShortCloses knows the software whose closes end no stream.
	ShortCloses ShortCloses
	// Tracker quarantines requests during which replicas crashed.
	Tracker *quarantine.Tracker
	// Demand counts the requests by model.
	Demand  *Demand
	Ring    *event.Ring
	Metrics *Metrics
	Now     func() time.Time
	// Unknown is called with the names of unknown headers in a replica's response. It may be nil.
	Unknown func(replica string, names []string)
	// ConfigConfirmed reports whether the active configuration was lately known to be the newest; nil
	// means that it always is.
	ConfigConfirmed func() bool
	// AwaitSettled waits, if the process goes on after a pause, until it has read what came meanwhile; nil waits for nothing.
	AwaitSettled func(ctx context.Context, now time.Time)
	// Node is the gateway's name, Zone its availability zone.
	Node string
	Zone string
	// DialGateway opens a connection to another gateway. Nothing is forwarded if it is nil.
	DialGateway func(ctx context.Context, address string) (net.Conn, error)
	// MaxRetainedBytes limits the buffered bytes of bodies and responses over all requests; 0 means
	// no limit.
	MaxRetainedBytes int64
}

// Handler serves client requests. It is safe for concurrent use.
type Handler struct {
	options Options
	table   atomic.Pointer[catalog.Table]
	// configured is closed once there is a configuration.
	configured chan struct{}
	configure  sync.Once
	budgets    budgets
	gateways   atomic.Int64
	stopping   atomic.Bool
	stop       *stopState
	// waits ends by endWaits.
	waits         context.Context
	endWaits      context.CancelFunc
	running       atomic.Int64
	slotAssigner  slotAssigner
	crashDetector *crashDetector
	waitQueues    *waitQueues
	placeQueues   *placeQueues
	vainCopies    vainCopies
	restOutcomes  restOutcomes
	closeChecks   closeChecks
	endedByClose  endedByClose
	retention     retention
	// gatewayList holds the gateways to which requests can be forwarded, nil if none are.
	gatewayList *otherGateways
	// forwardedRunning counts the requests of other gateways in progress.
	forwardedRunning atomic.Int64
	// localIssuer issues permits if no control node responds.
	localIssuer *ratelimit.FallbackIssuer
	// examineSocket returns the state of a client's connection.
	examineSocket func(net.Conn) socketState
}

// NewHandler returns a handler without a configuration.
func NewHandler(options Options) *Handler {
	h := &Handler{options: options, budgets: newBudgets(options.Budget), configured: make(chan struct{}), stop: newStopState(), waitQueues: newWaitQueues(), retention: retention{limit: options.MaxRetainedBytes}, localIssuer: ratelimit.NewFallbackIssuer(rand.Float64), examineSocket: examineSocket}
	h.placeQueues = newPlaceQueues(options.Fleet, options.Now)
	h.waits, h.endWaits = context.WithCancel(context.Background())
	h.gateways.Store(1)
	if options.DialGateway != nil {
		h.gatewayList = newOtherGateways(options.Node, options.Zone, options.DialGateway)
	}
	h.crashDetector = newCrashDetector(options.Now, h.noteCrash)
	options.Fleet.setCrashHandler(h.crashDetector.confirm)
	options.Fleet.onDoubt = h.disputeOrigins
	options.Fleet.onReturn = h.confirmReturn
	options.Fleet.onWitness = h.confirmLeaving
	return h
}

// SetTable activates a configuration.
func (h *Handler) SetTable(t *catalog.Table) {
	h.options.Fleet.setColdRates(t)
	h.options.Fleet.setSmallBatches(t)
	h.options.Fleet.setRoutes(t)
	h.table.Store(t)
	h.configure.Do(func() { close(h.configured) })
}

// Table returns the active configuration, nil if there is none yet.
func (h *Handler) Table() *catalog.Table { return h.table.Load() }

// SetGateways sets the number of gateways that share the retry budgets.
func (h *Handler) SetGateways(n int) {
	h.gateways.Store(int64(n))
	h.options.Fleet.gateways.setNumber(n)
}

// Gateways returns the number of gateways that share the retry budgets.
func (h *Handler) Gateways() int { return int(h.gateways.Load()) }

// SetOtherGateways sets the gateways to which requests can be forwarded; this one is passed over.
func (h *Handler) SetOtherGateways(listed []wire.GatewayPeer) {
	if h.gatewayList != nil {
		h.gatewayList.set(listed)
	}
	names := make([]string, 0, len(listed))
	for _, l := range listed {
		names = append(names, l.Node)
	}
	h.options.Fleet.gateways.setNames(h.options.Node, names)
}

// ProbeLinks looks for the return of services and, while one is out of reach, of other gateways that
// could not be connected to.
func (h *Handler) ProbeLinks(ctx context.Context) {
	if h.gatewayList != nil && len(h.options.Fleet.Unreachable()) > 0 {
		h.gatewayList.probe(ctx)
	}
	h.options.Fleet.ProbeUnreachable(ctx)
}

// Expire drops expired state.
func (h *Handler) Expire(now time.Time) { h.crashDetector.expire(now) }

// ForwardedRunning returns the number of requests of other gateways in progress.
func (h *Handler) ForwardedRunning() int { return int(h.forwardedRunning.Load()) }

// Running returns the number of requests in progress.
func (h *Handler) Running() int { return int(h.running.Load()) }

// call is the state of one client request.
type call struct {
	handler *Handler
	writer  http.ResponseWriter
	request *http.Request
	route   *catalog.Route
	table   *catalog.Table
	version uint64
	service string
	// engine is the engine of the service, nil for plain services.
	engine *catalog.Engine
	// tokensPerEvent is the number of tokens in an event of the service's streams, 0 if unknown.
	tokensPerEvent int
	// supportsBackups is set if the service's replicas can keep copies of runs.
	supportsBackups bool
	// supportsMoves is set if the service's replicas copy runs to each other.
	supportsMoves bool
	requestInfo   RequestInfo
	// account is the client account, nil for requests without one.
	account      *catalog.Account
	grant        grant
	assignedSlot assignedSlot
	// heldPlace is the place of the current attempt, placeRequests the number of places requested since
	// the last attempt.
	heldPlace     heldPlace
	placeRequests int
	// sendPermit is the permit for a cold or rate-limited replica, permitRequests the number of
	// permits requested so far, and permitWait the time spent waiting for them.
	sendPermit     sendPermit
	permitRequests int
	permitWait     time.Duration
	// queueEntry is the request's entry in the queue for replicas that accept nothing now.
	queueEntry queueEntry
	body       []byte
	// retained is the number of bytes that are counted as buffered for the request.
	retained int64
	// retainedPending is the part of retained that is the incomplete event of the stream.
	retainedPending int64
	// closed is set if the client had closed its connection as the head of the request was read.
	closed bool
	// startedAt is when the head of the request reached this host.
	startedAt time.Time
	// receivedAt is when the last byte of the body was read, the zero time before.
	receivedAt time.Time
	// sentAt is when the request was last sent to a replica or another gateway, the zero time before.
	sentAt time.Time
	// deadline is when the client must have its response.
	deadline time.Time
	tried    []*Peer
	// closedRuns are the replicas that ended a run of the request by closing its connection in order.
	closedRuns []*Peer
	// backup is the replica that keeps a copy of the current run, nil if there is none.
	backup *Peer
	// copied is the copy of the current run that shows its end, nil if there is none.
	copied *runCopy
	// rest is the search for a replica that goes on from it, nil if there is none. restSends counts the requests for that,
	// rests those that a replica has gone on with, and refusedRests those that were refused or got no answer.
	rest                           *restSearch
	restSends, rests, refusedRests int
	// restarted is set once a run was stopped to go on with another response.
	restarted bool
	// stopOrders are the orders to stop the current run, and those to stop earlier ones that may yet be carried out.
	stopOrders []*runCopy
	// sends counts the attempts, possibleArrivals those that may have reached a replica, and
	// possibleRuns those that a replica may have run.
	sends            int
	possibleArrivals int
	possibleRuns     int
	// runsBefore are the runs at other gateways before the request was forwarded, announced is the highest number of runs
	// that the gateway that forwarded it was told.
	runsBefore, announced int
	// aloneUntil is until when no other gateway is offered the forwarded request, the zero time if none is.
	aloneUntil time.Time
	// notSent is set if the last attempt sent nothing.
	notSent bool
	// unconnected is how many replicas could not be connected to.
	unconnected int
	// forwarded is set if another gateway forwarded the request, notForwardable if none takes it.
	forwarded      bool
	notForwardable bool
	// countedAt is when the retry budget counted the request, the zero time if it does not count it.
	countedAt time.Time
	// connectionBroke is set if the connection of the last attempt broke.
	connectionBroke bool
	// headless is set if the last attempt was sent and no head came.
	headless bool
	// rejection is the reply of the last attempt's replica if it did not run the request.
	rejection Reply
	// brokenBy is the error that ended the last attempt's stream, nil if there is none.
	brokenBy error
	// progress is what other goroutines may know of the request, nil until it is sent.
	progress *progress
	// watch may end the current attempt early, early is what ended the last one.
	watch *attemptWatch
	early earlyEnd
	// next is where the request goes on after an attempt that was given up, nil to choose anew. repeatTaken is
	// set if the retry budget was asked for the next attempt.
	next        *nextPeer
	repeatTaken bool
	// settled is the peer of the last attempt that has ended.
	settled *Peer
	// beside is set while another attempt is under way than the one that is begun or ended, denied if a second one was
	// not allowed.
	beside, denied bool
	// content is the digest of the request's content. It is valid once digested is set.
	content  quarantine.Digest
	digested bool
	// partKeys are the keys of the parts of its prompt that other requests may share, nil until needed.
	partKeys []quarantine.Key
	// trial is what the request may be sent with although replicas crashed.
	trial quarantine.Trial
	// bodyEnd is how the end of the last response of a replica is known.
	bodyEnd bodyEnd
	// framing is how the client knows the end of its response.
	framing clientFraming
	// status is the status of the response to the client, 0 if the response was aborted.
	status int
	reason string
	// notAccepted is set if no replica accepts the request from this gateway now.
	notAccepted bool
	// noReturn is set if a refused client gains nothing by coming back.
	noReturn bool
	// retryIn is the value of Retry-After for a refused client, 0 for the default of the reason.
	retryIn   time.Duration
	firstByte time.Time
	stream    *eventStream
	// origin is what began the client's stream.
	origin streamOrigin
	pauses pauses
	timing streamTiming
	// outputEvents is the number of events of the stream, over all attempts.
	outputEvents int
}

// ServeHTTP serves one request of a client.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.serve(w, r, false) }

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, forwarded bool) {
	h.running.Add(1)
	defer h.running.Add(-1)
	if h.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	socket := h.socket(r.Context())
	c := &call{handler: h, writer: w, request: r, startedAt: socket.arrivedAt(h.options.Now()), closed: socket.closed, forwarded: forwarded}
	c.deadline = c.startedAt.Add(defaultTimeout)
	defer c.logResult()
	defer c.endProgress()
	defer c.releaseRetained()
	if c.closed {
		c.abortResponse("the client left before its request was read")
	}
	c.awaitSettled()
	table := c.awaitTable()
	if table == nil {
		c.refuse(http.StatusServiceUnavailable, "no configuration yet")
		return
	}
	c.version = table.Version()
	if forwarded && !c.beginForwarded() {
		return
	}
	if !c.applyTable(table) || c.refusedLate() || !c.readBody(bodyLimit(table)) || !c.followTable() || !c.resolveOrigin() || c.refusedByStop() {
		return
	}
	if c.forwardOnArrival() {
		return
	}
	if c.possibleArrivals == 0 {
		c.countedAt = h.options.Now()
		h.budgets.get(c.service).Request(c.countedAt)
	}
	defer c.returnGrant()
	// The slot must be released however the request ends.
	defer c.release(dispatch.Failed)
	defer c.releasePlace()
	defer c.dropCopy()
	defer c.dropOtherCopies()
	if !c.maySend(r.Context()) {
		return
	}
	h.options.Demand.Count(c.service, c.requestInfo, false)
	if c.engine.SmallBatch() {
		h.options.Demand.AddWork(c.service, c.requestInfo, c.expectedWork())
	}
	c.run()
}

// applyTable applies a configuration to the request: its route, service, time limit and client account. It
// responds to the client and returns false if the configuration does not allow the request.
func (c *call) applyTable(table *catalog.Table) bool {
	c.version = table.Version()
	c.route = table.RouteFor(c.request.Host, c.request.URL.EscapedPath())
	if c.route == nil {
		c.refuseUnknownRoute()
		return false
	}
	c.table = table
	c.selectService(c.route.Pick(rand.Float64()))
	c.requestInfo = c.handler.options.Codec.RequestInfo(c.request)
	c.deadline = c.startedAt.Add(c.timeLimit())
	return c.identify(table)
}

// refusedLate refuses a request whose time was over before it was read. It reports whether it has done so.
func (c *call) refusedLate() bool {
	if c.handler.options.Now().Add(responseMargin).Before(c.deadline) {
		return false
	}
	status := http.StatusServiceUnavailable
	if c.possibleRuns > 0 {
		status = c.unknownOutcomeStatus()
	}
	c.refuse(status, "its time was over before it was read")
	return true
}

// followTable applies the active configuration if it is another one than at the head of the request: the body
// may have taken seconds, and a request counts as sent with its last byte. It responds to the client and returns
// false if the configuration does not allow the request.
func (c *call) followTable() bool {
	table := c.handler.table.Load()
	if table == c.table {
		return true
	}
	if !c.applyTable(table) {
		return false
	}
	if len(c.body) > bodyLimit(table) {
		c.refuseTooLarge()
		return false
	}
	return true
}

// selectService makes a service the one of the request.
func (c *call) selectService(name string) {
	c.service, c.engine, c.tokensPerEvent, c.supportsBackups, c.supportsMoves = name, nil, 0, false, false
	if service := c.table.Service(name); service != nil && service.Engine != nil {
		c.engine = service.Engine
		c.tokensPerEvent, c.supportsBackups, c.supportsMoves = service.Engine.EventTokens, service.Engine.Backups, service.Engine.Moves
	}
}

// refuseUnknownRoute refuses a request for which there is no route. If a newer configuration may have one,
// the client is told to come back.
func (c *call) refuseUnknownRoute() {
	if c.configConfirmed() {
		c.refuse(http.StatusNotFound, "no route")
		return
	}
	c.refuseUndecided("no route, and the configuration is not known to be the newest")
}

// configConfirmed reports whether the active configuration was lately known to be the newest, so that a
// request may be refused for good because of it.
func (c *call) configConfirmed() bool {
	confirmed := c.handler.options.ConfigConfirmed
	return confirmed == nil || confirmed()
}

// awaitTable returns the active configuration. If there is none yet, it waits up to maxConfigWait
// for the first one.
func (c *call) awaitTable() *catalog.Table {
	h := c.handler
	if table := h.table.Load(); table != nil {
		return table
	}
	select {
	case <-h.configured:
	case <-time.After(maxConfigWait):
	case <-c.request.Context().Done():
	}
	return h.table.Load()
}

// timeLimit returns how long the request may take.
func (c *call) timeLimit() time.Duration {
	timeLimit := c.route.Timeout
	if timeLimit <= 0 {
		timeLimit = defaultTimeout
	}
	if d := c.requestInfo.Deadline; d > 0 {
		timeLimit = min(timeLimit, d)
	}
	return timeLimit
}

// run makes attempts until the request has a response.
func (c *call) run() {
	ctx, cancel := c.runContext()
	defer cancel()
	waiting, endWait := c.handler.waitContext(ctx)
	defer endWait()
	defer func() { c.dropNext(c.handler.options.Now()) }()
	var lastError *errorResponse
	choice, chosen := Choice{}, false
	for {
		if c.refusedByStop() {
			c.release(dispatch.Full)
			return
		}
		if !chosen && c.next == nil && c.mustForward() {
			if ended, taken := c.forward(ctx); taken {
				if ended == answered {
					return
				}
				if !c.mayRetry(ctx, ended) {
					c.endAfterAttempt(ctx, ended, lastError)
					return
				}
				continue
			}
		}
		if !chosen {
			choice = c.choose(c.waitsBy(ctx, waiting))
		}
		if choice.Verdict != Chosen && c.next != nil {
			c.dropNext(c.handler.options.Now())
			continue
		}
		if choice.Verdict != Chosen && c.preferForwarding() {
			continue
		}
		if choice.Verdict != Chosen || c.clientLeft() {
			c.release(dispatch.Full)
			c.endWithoutReplica(lastError, choice)
			return
		}
		if !c.maySend(ctx) {
			c.release(dispatch.Full)
			return
		}
		ended, failure := c.attempt(ctx, choice)
		c.release(c.slotOutcome(ended))
		c.releasePlace()
		c.placeRequests = 0
		if failure != nil {
			lastError = failure
		}
		if ended == answered {
			c.noteRun(c.settled)
			return
		}
		if ended == unknown || ended == truncated {
			c.noteLostReplica(ctx, c.settled)
		}
		if choice, chosen = c.resumeAfterRefusal(ctx, &choice, ended); chosen {
			continue
		}
		if ended == unknown {
			if choice, chosen = c.resumeFromCopy(ctx); chosen {
				continue
			}
			if choice, chosen = c.resumeAtBackup(ctx, c.settled); chosen {
				continue
			}
		}
		chosen = false
		if !c.mayRetry(ctx, ended) {
			c.endAfterAttempt(ctx, ended, lastError)
			return
		}
	}
}
