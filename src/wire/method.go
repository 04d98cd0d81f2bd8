package wire

// Methods of the control protocol. A notification has no response.
const (
	// MethodStep carries a raft.Message between control nodes (notification).
	MethodStep = "raft.step"
	// MethodApply requests a configuration change.
	MethodApply = "control.apply"
	// MethodConfig requests the configuration updates after a revision.
	MethodConfig = "config.get"
	// MethodWatchConfig starts a stream of MethodUpdate notifications.
	MethodWatchConfig = "config.watch"
	// MethodUpdate carries a config.Update (notification).
	MethodUpdate = "config.update"
	// MethodClaim claims an idempotency key, so that the call is executed once.
	MethodClaim = "control.claim"
	// MethodSettle reports the result of a claimed call.
	MethodSettle = "control.settle"
	// MethodGrant requests or renews a planner's authority.
	MethodGrant = "control.grant"
	// MethodHeartbeat reports to the control nodes that a process is alive.
	MethodHeartbeat = "control.heartbeat"
	// MethodSeen tells the leader which processes a control node receives heartbeats from
	// (notification).
	MethodSeen = "control.seen"
	// MethodMembers changes the membership of the control nodes.
	MethodMembers = "control.members"
	// MethodHeld asks the leader how much a control node is known to have stored.
	MethodHeld = "control.held"
	// MethodPutDocument asks to put a complete configuration into effect.
	MethodPutDocument = "document.put"
	// MethodReadDocument asks the leader for the newest accepted configuration.
	MethodReadDocument = "document.read"
	// MethodApplied asks a control node what it has applied.
	MethodApplied = "control.applied"
	// MethodZoneTicket asks the leader for the ticket that an order for a zone must include.
	MethodZoneTicket = "zone.ticket"
	// MethodZoneOrder asks the leader to start or stop draining a zone.
	MethodZoneOrder = "zone.order"
	// MethodZoneDrain is MethodZoneOrder for operators, who may ask any control node.
	MethodZoneDrain = "zone.drain"
	// MethodZoneDrains asks a control node which zones are drained.
	MethodZoneDrains = "zone.drains"
	// MethodWatchFeed starts a stream of MethodFeed notifications.
	MethodWatchFeed = "feed.watch"
	// MethodFeed carries a FeedUpdate (notification).
	MethodFeed = "feed.update"
	// MethodFetchDocument asks a control node for the configuration it has applied.
	MethodFetchDocument = "feed.document"
	// MethodGateway tells a control node a gateway's state for other gateways (notification).
	MethodGateway = "feed.gateway"
	// MethodNote tells a control node that a replica is leaving.
	MethodNote = "feed.note"
	// MethodUsage tells a control node the demand of a gateway's requests (notification).
	MethodUsage = "feed.usage"
	// MethodUsageSum tells another control node the combined demand of a control node's gateways (notification).
	MethodUsageSum = "feed.usageSum"
	// MethodLoad tells a control node which requests a gateway has in flight (notification).
	MethodLoad = "load.report"
	// MethodLoadTotals tells a gateway which requests all gateways have in flight (notification).
	MethodLoadTotals = "load.totals"
	// MethodLoadSum tells another control node which requests a control node's gateways have in flight
	// (notification).
	MethodLoadSum = "load.sum"
	// MethodSent tells a control node which prompts a gateway has sent to replicas (notification).
	MethodSent = "load.sent"
	// MethodSentSum tells another control node which prompts a control node's gateways have sent to
	// replicas (notification).
	MethodSentSum = "load.sentSum"
	// MethodBacklogs tells a gateway the prompt backlogs of replicas (notification).
	MethodBacklogs = "load.backlogs"
	// MethodAdmit asks a control node to admit a request of a client account.
	MethodAdmit = "quota.admit"
	// MethodAdmitReturn gives a control node granted units back (notification).
	MethodAdmitReturn = "quota.return"
	// MethodLease asks the leader for a control node's shares of all accounts' quotas.
	MethodLease = "quota.lease"
	// MethodDraw asks the leader for units outside the control nodes' shares.
	MethodDraw = "quota.draw"
	// MethodPlace asks a control node for a slot on one of a service's replicas.
	MethodPlace = "dispatch.place"
	// MethodAssign asks the leader for such a slot.
	MethodAssign = "dispatch.assign"
	// MethodRelease tells a control node how a request that had a slot ended (notification).
	MethodRelease = "dispatch.release"
	// MethodReleased tells the leader how a request that had a slot ended (notification).
	MethodReleased = "dispatch.released"
	// MethodQueue asks a control node for a place at a replica of a model whose replicas have no room.
	MethodQueue = "queue.place"
	// MethodQueueOwner asks the owner of the model's queue for such a place.
	MethodQueueOwner = "queue.owner"
	// MethodQueueRelease gives such places back (notification).
	MethodQueueRelease = "queue.release"
	// MethodQueueList asks a control node what waits in its queues, or in those of all control nodes.
	MethodQueueList = "queue.list"
	// MethodQueueProbe asks whether a control node gives such places.
	MethodQueueProbe = "queue.probe"
	// MethodStreamOrigins tells a control node which software began streams (notification).
	MethodStreamOrigins = "stream.origins"
	// MethodStreamOrigin asks a control node which software began a stream.
	MethodStreamOrigin = "stream.origin"
	// MethodSoleVersion asks a control node for the only software version of a service.
	MethodSoleVersion = "stream.version"
	// MethodPermit asks a control node for a permit to send a request to a cold or limited replica.
	MethodPermit = "warmup.permit"
	// MethodPermitIssue asks the leader for such a permit.
	MethodPermitIssue = "warmup.issue"
	// MethodLimits tells gateways and control nodes which replicas are limited (notification).
	MethodLimits = "limits.told"
	// MethodQuarantine tells a control node about request contents that replicas were running when they
	// ended.
	MethodQuarantine = "quarantine.told"
	// MethodQuarantineList asks a control node for all suspected and quarantined contents that it knows.
	MethodQuarantineList = "quarantine.list"
	// MethodQuarantineLift asks a control node to remove a request content from quarantine.
	MethodQuarantineLift = "quarantine.lift"
	// MethodShortCloses tells a control node which software a gateway or another control node knows to close short.
	MethodShortCloses = "closes.told"
	// MethodStatus asks a process for its status.
	MethodStatus = "process.status"
	// MethodEvents asks for a process's events.
	MethodEvents = "process.events"
	// MethodCut sets the network partition that a test simulates in a process.
	MethodCut = "process.cut"
	// MethodWatchRoutes starts a stream of MethodRoutes notifications.
	MethodWatchRoutes = "planner.watch"
	// MethodRoutes carries a RoutesUpdate (notification).
	MethodRoutes = "planner.routes"
	// MethodDemand carries a DemandReport to a planner (notification).
	MethodDemand = "planner.demand"
	// MethodDrain asks a planner to move everything off a host.
	MethodDrain = "planner.drain"
	// MethodPlan asks a planner what it would do.
	MethodPlan = "planner.plan"
	// MethodPeerRoutes asks a gateway for its known routes.
	MethodPeerRoutes = "entry.routes"
)
