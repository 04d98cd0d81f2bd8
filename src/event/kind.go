package event

import "fmt"

// Kind is the number of a kind of event; numbers are never reused.
type Kind uint16

// The kinds of event, grouped by the part that emits them.
const (
	ProcessStarted     Kind = 100
	ProcessReady       Kind = 101
	ProcessDraining    Kind = 102
	ProcessStopped     Kind = 103
	ProcessDegraded    Kind = 104
	SettingsReloaded   Kind = 105
	LogLinesDropped    Kind = 106
	StopSignalLearned  Kind = 107
	ConfigAccepted     Kind = 200
	ConfigRefused      Kind = 201
	ConfigConflict     Kind = 202
	ConfigInForce      Kind = 203
	ConfigUncertain    Kind = 204
	ConfigUnusable     Kind = 205
	ConfigForwarded    Kind = 206
	ConfigHeld         Kind = 207
	ConfigNotFetched   Kind = 208
	ZoneOrdered        Kind = 210
	ZoneOrderRefused   Kind = 211
	ZonesDrained       Kind = 212
	LeaderElected      Kind = 300
	LeaderLost         Kind = 301
	VoterChanged       Kind = 302
	SnapshotSaved      Kind = 303
	SnapshotReceived   Kind = 304
	StorageFailed      Kind = 305
	QuorumChanged      Kind = 306
	JoinAsked          Kind = 307
	LeaderSeen         Kind = 308
	AgreementDelayed   Kind = 309
	DiskSlow           Kind = 310
	DiskRecovered      Kind = 311
	AuthorityGranted   Kind = 400
	AuthorityRefused   Kind = 401
	AuthorityLost      Kind = 402
	ClaimGranted       Kind = 410
	ClaimRefused       Kind = 411
	OrderSent          Kind = 500
	OrderInDoubt       Kind = 501
	OrderSettled       Kind = 502
	OrderRefused       Kind = 503
	ModelReady         Kind = 510
	ModelUnplaced      Kind = 511
	CopyPlanned        Kind = 512
	CopyDropped        Kind = 513
	HostLive           Kind = 600
	HostSuspect        Kind = 601
	HostLeaving        Kind = 602
	HostGone           Kind = 603
	ReplicaChanged     Kind = 610
	ReplicasFound      Kind = 611
	HeartbeatRefused   Kind = 612
	BackoffAsked       Kind = 613
	BackoffOver        Kind = 614
	ShutdownAnnounced  Kind = 615
	RateLimitChanged   Kind = 616
	UnknownName        Kind = 617
	RejectionsLimited  Kind = 618
	ControlFound       Kind = 620
	ControlLost        Kind = 621
	UpdateNotEncoded   Kind = 622
	LoadViewRefused    Kind = 630
	LoadViewLost       Kind = 631
	LoadViewRegained   Kind = 632
	RequestRouted      Kind = 700
	RequestRetried     Kind = 701
	RequestRefused     Kind = 702
	RequestResumed     Kind = 703
	RequestFinished    Kind = 704
	ClientDisconnected Kind = 705
	StreamResumed      Kind = 706
	StreamNotResumed   Kind = 707
	HostEjected        Kind = 710
	ReplicaEnded       Kind = 711
	ServiceUnreachable Kind = 712
	ServiceReachable   Kind = 713
	ResponseTooLong    Kind = 714
	UnframedResponse   Kind = 715
	EndUnproven        Kind = 716
	AnswerEndedEarly   Kind = 717
	RequestUnderWay    Kind = 718
	RunCopied          Kind = 719
	KeyRefused         Kind = 720
	QuotaExceeded      Kind = 721
	AdmissionUncertain Kind = 722
	TrustLost          Kind = 723
	TrustRegained      Kind = 724
	ContentQuarantined Kind = 730
	ContentReleased    Kind = 731
	QueueOwnerLost     Kind = 740
	QueueOwnerFound    Kind = 741
	QueueAlone         Kind = 742
	ClosesShort        Kind = 750
	ClosesRefused      Kind = 751
	FaultSwitched      Kind = 900
)

// Entry describes a kind in the catalogue.
type Entry struct {
	kind    Kind
	name    string
	meaning string
}

// Kind returns the kind's number.
func (e Entry) Kind() Kind { return e.kind }

// Name returns the kind's short name.
func (e Entry) Name() string { return e.name }

// Meaning returns the kind's description in one sentence.
func (e Entry) Meaning() string { return e.meaning }

var catalogue = []Entry{
	{ProcessStarted, "process-started", "A process has read its settings and starts to run."},
	{ProcessReady, "process-ready", "A process is ready and accepts work."},
	{ProcessDraining, "process-draining", "A process is stopping; it accepts no new connections once the load balancer has had time to notice."},
	{ProcessStopped, "process-stopped", "A process finished its last request and exits."},
	{ProcessDegraded, "process-degraded", "A process started without the newest configuration, because no control node or other process responded in time."},
	{SettingsReloaded, "settings-reloaded", "A process read its settings again."},
	{LogLinesDropped, "log-lines-left-out", "Log lines were dropped, because the output blocked or there were too many of a kind in a second."},
	{StopSignalLearned, "stop-signal-learned", "A process learned of its signal to stop; how long before that the signal was sent at the most, by when the process was last seen running without one."},
	{ConfigAccepted, "config-accepted", "The control nodes accepted a configuration change."},
	{ConfigRefused, "config-refused", "A configuration change was invalid and was refused as a whole."},
	{ConfigConflict, "config-conflict", "A configuration change was based on an older revision of an object that it changes."},
	{ConfigInForce, "config-in-force", "A process uses a newer configuration; the control node that sent it is given, and when that one last knew the configuration to be the newest."},
	{ConfigUncertain, "config-uncertain", "It is unknown whether a configuration change was accepted; the operator must send it again."},
	{ConfigUnusable, "config-unusable", "A gateway received a newer configuration that it can't decode, keeps the previous one and fetches the newer one again; or a control node has applied one that it can't decode and places and admits by the previous one."},
	{ConfigForwarded, "config-borrowed", "A control node forwards a configuration that another control node has applied but it has not."},
	{ConfigHeld, "config-held", "A gateway that has just started does not use the configuration of a control node yet, because it is not known to be the newest."},
	{ConfigNotFetched, "config-not-fetched", "A gateway could not fetch a newer configuration that a control node announced; it tries again."},
	{ZoneOrdered, "zone-ordered", "An operator's order to drain an availability zone, or to end the drain, was acknowledged: a majority of the control nodes has stored it."},
	{ZoneOrderRefused, "zone-order-refused", "An order about an availability zone was not acknowledged; the reason is given, and whether it may still take effect."},
	{ZonesDrained, "zones-drained", "A process uses a newer set of drained availability zones; they are listed."},
	{LeaderElected, "leader-elected", "A control node became leader of a term."},
	{LeaderLost, "leader-lost", "A control node stopped being the leader, or lost contact with the leader."},
	{VoterChanged, "voter-changed", "The set of voting control nodes or learners changed."},
	{SnapshotSaved, "snapshot-saved", "A control node saved a snapshot and truncated its log."},
	{SnapshotReceived, "snapshot-received", "A control node replaced its state with the leader's snapshot."},
	{StorageFailed, "storage-failed", "A control node could not make its state durable and stops."},
	{QuorumChanged, "quorum-changed", "The number of voters, of learners, or of voters that the leader is in contact with changed."},
	{JoinAsked, "join-asked", "A control node that knows no leader asks the others to join, and the result of that changed."},
	{LeaderSeen, "leader-seen", "A control node follows another leader or none, or a new term began; the applied configuration and the committed entry are given."},
	{AgreementDelayed, "agreement-delayed", "A message or request waited long for the control node's consensus loop, or one iteration of that loop took long."},
	{DiskSlow, "disk-slow", "A control node's writes to its data folder take long; work that needs no disk continues."},
	{DiskRecovered, "disk-recovered", "A control node's writes are no longer slow."},
	{AuthorityGranted, "authority-granted", "A planner holds an availability zone's authority at an epoch."},
	{AuthorityRefused, "authority-refused", "A planner was refused an availability zone's authority, because another planner's lease may still be valid."},
	{AuthorityLost, "authority-lost", "A planner lost its authority: its lease expired, or there is a newer epoch."},
	{ClaimGranted, "claim-granted", "The key of a call that must run at most once was claimed."},
	{ClaimRefused, "claim-refused", "The key of a call that must run at most once was claimed before; the call is not run again."},
	{OrderSent, "order-sent", "A planner sent a fenced order to an engine."},
	{OrderInDoubt, "order-in-doubt", "An order got no response; the memory that it may use stays reserved."},
	{OrderSettled, "order-settled", "An engine's report settled the outcome of an order."},
	{OrderRefused, "order-refused", "An engine refused an order."},
	{ModelReady, "model-ready", "A copy of a model or adapter is ready to serve."},
	{ModelUnplaced, "model-unplaced", "No accelerator has room for a model that needs a copy."},
	{CopyPlanned, "copy-planned", "The planner decided to load a copy."},
	{CopyDropped, "copy-dropped", "The planner decided to unload a copy."},
	{HostLive, "host-live", "A host accepts new work."},
	{HostSuspect, "host-suspect", "A host stopped responding and gets work only as a last resort."},
	{HostLeaving, "host-leaving", "A host is leaving and gets no new work."},
	{HostGone, "host-gone", "A host is no longer in the platform's list and does not respond."},
	{ReplicaChanged, "replica-changed", "A replica's record changed, or its heartbeats stopped or resumed."},
	{ReplicasFound, "replicas-found", "New replicas are known; the total number is given."},
	{HeartbeatRefused, "replica-call-refused", "A malformed heartbeat in a replica's name was refused; the invalid field is given, and the replica's record is unchanged."},
	{BackoffAsked, "backoff-asked", "A backend server refused a request and asked this gateway to send nothing for a time; the time is given."},
	{BackoffOver, "backoff-over", "A backend server that had asked this gateway to send nothing accepts requests again."},
	{ShutdownAnnounced, "leaving-told", "A backend server announced its shutdown in a response; this gateway sends it no new requests."},
	{RateLimitChanged, "limit-told", "A backend server set, changed or ended its rate limit for all gateways together; the values and their age are given."},
	{UnknownName, "word-unknown", "A response or heartbeat of a backend server contains an unknown header or field; each name is logged once."},
	{RejectionsLimited, "rejections-limited", "A backend server said that it fails when it rejects too many requests in a second; each gateway sends the servers of its service no more than its share of their slots."},
	{ControlFound, "control-found", "A control node is reachable and its updates arrive."},
	{ControlLost, "control-lost", "A control node is unreachable; its last update stays valid for a while."},
	{UpdateNotEncoded, "news-not-sent", "An update for the followers could not be encoded; they keep their previous state."},
	{LoadViewRefused, "load-view-refused", "A gateway could not decode the loads of replicas that a control node sent; it keeps what it was told before."},
	{LoadViewLost, "load-view-lost", "A gateway sent requests and was told no loads of replicas for a second; it chooses by its own requests and by the loads told in its own responses."},
	{LoadViewRegained, "load-view-regained", "A gateway is told the loads of replicas again."},
	{RequestRouted, "request-routed", "A request was sent to a backend server."},
	{RequestRetried, "request-retried", "A request that did not run, or may be repeated, is sent to another backend server."},
	{RequestRefused, "request-refused", "A request was refused; the reason and whether it ran are given."},
	{RequestResumed, "request-resumed", "A broken stream is resumed after the last token that was forwarded."},
	{RequestFinished, "request-finished", "A client got its complete response."},
	{ClientDisconnected, "request-left", "The client closed its connection before the response was complete."},
	{StreamResumed, "stream-resumed", "A stream goes on at a replica with the software that began it; how that is known and since when is given."},
	{StreamNotResumed, "stream-not-resumed", "A stream does not go on: no replica with the software that began it is left, or that software is not known."},
	{HostEjected, "host-ejected", "A gateway avoids a backend server after consecutive failures."},
	{ReplicaEnded, "replica-ended", "A replica ended while it ran requests; the observation, the digests of the requests' contents and the parts of their prompts are given, each part with the number of these requests."},
	{ServiceUnreachable, "service-unreachable", "A gateway can connect to no backend server of a service that control nodes list; the evidence and its age are given. Its requests are forwarded to other gateways."},
	{ServiceReachable, "service-reachable", "A gateway can connect to the backend servers of a service again; how long it could not is given."},
	{ResponseTooLong, "response-too-long", "A backend server sent more than is read in one place of a response; the place, its limit and what was read are given. The connection is closed, and the server is avoided for a while."},
	{UnframedResponse, "response-unframed", "A response of a backend server that has neither a length nor chunks begins to be passed on; how the client knows its end is given."},
	{EndUnproven, "end-unproven", "Nothing but the close of its connection shows the end of a backend server's response; what became of the client's response, and how the client knows its end, is given."},
	{AnswerEndedEarly, "answer-ended-early", "A client's answer was broken off, or tells that the request may have run: what ended it, when it was sent on and ended after the signal of a stop, by which evidence, the last event, how long after the server's last byte and before the deadline, and how long ago the request's head and last byte were read and it was sent on."},
	{RequestUnderWay, "request-under-way", "A request was sent to a backend server or another gateway and has no complete answer yet as the mark of a stop passes, or is sent after it: how long ago it was sent on, how long after the signal of the stop and before its deadline, how long ago its head and last byte were read, and whether its answer has begun."},
	{RunCopied, "run-copied", "A run whose response has neither a length nor chunks was copied to another backend server, which shows its end; where, or why not, is given, and whether a copy that was not needed could not be freed."},
	{KeyRefused, "key-refused", "A request had no API key, or one that belongs to no client account."},
	{QuotaExceeded, "quota-spent", "A request was refused because its client account had used up its limit."},
	{AdmissionUncertain, "admission-unsure", "A request with an API key was refused because no reachable control node could confirm that its client account was within its limit, or that the configuration was still the newest."},
	{TrustLost, "trust-lost", "A gateway could not confirm for too long that its configuration is the newest; it serves no requests with an API key."},
	{TrustRegained, "trust-regained", "A gateway has confirmed again that its configuration is the newest."},
	{ContentQuarantined, "content-quarantined", "Requests with a certain content, or a certain part in their prompts, are refused, because backend servers ended while they ran such requests; the digest or the part, the backend servers and the time are given."},
	{ContentReleased, "content-freed", "Requests with a quarantined content or part are accepted again: a run succeeded, an operator lifted the quarantine, it expired, or the backend servers ended for another reason."},
	{QueueOwnerLost, "queue-owner-lost", "A control node that owns queues of models does not answer; until it does again the control node that logs this queues requests for these models itself or gives them to the next owner."},
	{QueueOwnerFound, "queue-owner-found", "A control node that did not answer as the owner of queues answers again."},
	{QueueAlone, "queue-alone", "No control node gives places to the requests of a gateway; it queues them by itself, without those of other gateways."},
	{ClosesShort, "software-closes-short", "A living backend server closed a connection in order between two events, before the end of its answer; the service and its software version are given, and whether another process has told it. From then on no close ends a stream of that software, at all gateways, until it was not seen for an hour."},
	{ClosesRefused, "short-closes-refused", "A malformed list of software that closes short was refused; the reason is given."},
	{FaultSwitched, "fault-switched", "A test switched a simulated fault on or off; this never happens in production."},
}

// Catalogue returns all kinds, ordered by number.
func Catalogue() []Entry { return append([]Entry(nil), catalogue...) }

// String returns the kind's short name.
func (k Kind) String() string {
	for _, entry := range catalogue {
		if entry.kind == k {
			return entry.name
		}
	}
	return fmt.Sprintf("event-%d", uint16(k))
}
