package wire

// The methods of the control protocol; a notification wants no answer.
const (
	// MethodStep carries a raft.Message between keepers (notification).
	MethodStep = "raft.step"
	// MethodApply asks for a change of configuration.
	MethodApply = "keeper.apply"
	// MethodConfig asks for the configuration from a revision on.
	MethodConfig = "config.get"
	// MethodWatchConfig starts a stream of MethodUpdate notifications.
	MethodWatchConfig = "config.watch"
	// MethodUpdate carries a config.Update (notification).
	MethodUpdate = "config.update"
	// MethodClaim claims a once key for one run.
	MethodClaim = "keeper.claim"
	// MethodSettle says what became of a claimed run.
	MethodSettle = "keeper.settle"
	// MethodGrant asks for or renews a planner's authority.
	MethodGrant = "keeper.grant"
	// MethodHeartbeat tells the keepers that a process lives.
	MethodHeartbeat = "keeper.heartbeat"
	// MethodSeen tells the leader whom a keeper hears (notification).
	MethodSeen = "keeper.seen"
	// MethodMembers changes the keepers' own membership.
	MethodMembers = "keeper.members"
	// MethodHeld asks the leader how much a keeper is known to have stored.
	MethodHeld = "keeper.held"
	// MethodStatus asks a process about itself and what it knows.
	MethodStatus = "process.status"
	// MethodEvents asks for a process's events.
	MethodEvents = "process.events"
	// MethodCut switches a test's cut.
	MethodCut = "process.cut"
	// MethodWatchRoutes starts a stream of MethodRoutes notifications.
	MethodWatchRoutes = "planner.watch"
	// MethodRoutes carries a RoutesUpdate (notification).
	MethodRoutes = "planner.routes"
	// MethodDemand carries a DemandReport to a planner (notification).
	MethodDemand = "planner.demand"
	// MethodDrain tells a planner to move everything off a host.
	MethodDrain = "planner.drain"
	// MethodPlan asks a planner what it would do.
	MethodPlan = "planner.plan"
	// MethodPeerRoutes asks an entry host for the routes that it knows.
	MethodPeerRoutes = "entry.routes"
)
