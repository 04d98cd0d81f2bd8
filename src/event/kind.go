package event

import "fmt"

// Kind is an event's number; numbers are never reused.
type Kind uint16

// The kinds of event, grouped by the part that emits them.
const (
	ProcessStarted   Kind = 100
	ProcessReady     Kind = 101
	ProcessDraining  Kind = 102
	ProcessStopped   Kind = 103
	ProcessDegraded  Kind = 104
	SettingsReloaded Kind = 105
	LinesLeftOut     Kind = 106
	ConfigAccepted   Kind = 200
	ConfigRefused    Kind = 201
	ConfigConflict   Kind = 202
	ConfigInForce    Kind = 203
	ConfigUncertain  Kind = 204
	ConfigUnusable   Kind = 205
	ConfigBorrowed   Kind = 206
	ZoneOrdered      Kind = 210
	ZoneOrderRefused Kind = 211
	ZonesDrained     Kind = 212
	LeaderElected    Kind = 300
	LeaderLost       Kind = 301
	VoterChanged     Kind = 302
	SnapshotSaved    Kind = 303
	SnapshotReceived Kind = 304
	StorageFailed    Kind = 305
	QuorumChanged    Kind = 306
	JoinAsked        Kind = 307
	LeaderSeen       Kind = 308
	AgreementDelayed Kind = 309
	DiskSlow         Kind = 310
	DiskRecovered    Kind = 311
	AuthorityGranted Kind = 400
	AuthorityRefused Kind = 401
	AuthorityLost    Kind = 402
	ClaimGranted     Kind = 410
	ClaimRefused     Kind = 411
	OrderSent        Kind = 500
	OrderInDoubt     Kind = 501
	OrderSettled     Kind = 502
	OrderRefused     Kind = 503
	ModelReady       Kind = 510
	ModelUnplaced    Kind = 511
	CopyPlanned      Kind = 512
	CopyDropped      Kind = 513
	HostLive         Kind = 600
	HostSuspect      Kind = 601
	HostLeaving      Kind = 602
	HostGone         Kind = 603
	ReplicaChanged   Kind = 610
	ReplicasFound    Kind = 611
	CallRefused      Kind = 612
	BackoffAsked     Kind = 613
	BackoffOver      Kind = 614
	LeavingTold      Kind = 615
	LimitTold        Kind = 616
	WordUnknown      Kind = 617
	ControlFound     Kind = 620
	ControlLost      Kind = 621
	NewsNotSent      Kind = 622
	RequestRouted    Kind = 700
	RequestRetried   Kind = 701
	RequestRefused   Kind = 702
	RequestResumed   Kind = 703
	RequestFinished  Kind = 704
	RequestLeft      Kind = 705
	HostEjected      Kind = 710
	ReplicaEnded     Kind = 711
	KeyRefused       Kind = 720
	QuotaSpent       Kind = 721
	AdmissionUnsure  Kind = 722
	TrustLost        Kind = 723
	TrustRegained    Kind = 724
	ContentHeld      Kind = 730
	ContentFreed     Kind = 731
	FaultSwitched    Kind = 900
)

// Entry is a kind's line in the catalogue.
type Entry struct {
	kind    Kind
	name    string
	meaning string
}

// Kind returns the event's number.
func (e Entry) Kind() Kind { return e.kind }

// Name returns the event's short name.
func (e Entry) Name() string { return e.name }

// Meaning returns one sentence for the catalogue.
func (e Entry) Meaning() string { return e.meaning }

var catalogue = []Entry{
	{ProcessStarted, "process-started", "A process has read its settings and begins to run."},
	{ProcessReady, "process-ready", "A process accepts work from now on."},
	{ProcessDraining, "process-draining", "A process was told to stop and takes no new connections after the balancer's lag."},
	{ProcessStopped, "process-stopped", "A process finished its last request and exits."},
	{ProcessDegraded, "process-degraded", "A process started without the newest configuration, because no control node or peer answered in time."},
	{SettingsReloaded, "settings-reloaded", "A process read its settings again."},
	{LinesLeftOut, "log-lines-left-out", "Log lines were left out because the output did not take them, or a kind had too many in a second."},
	{ConfigAccepted, "config-accepted", "The control nodes accepted a change of configuration."},
	{ConfigRefused, "config-refused", "A change of configuration had findings and was refused whole."},
	{ConfigConflict, "config-conflict", "A change was based on a revision older than an object it touches."},
	{ConfigInForce, "config-in-force", "A process now acts on a newer revision; the control node that gave it is named."},
	{ConfigUncertain, "config-uncertain", "Whether a change of configuration was accepted is not known; the operator sends it again."},
	{ConfigUnusable, "config-unusable", "A gateway was given a newer configuration that it can't read; the one before stays in force and the newer one is fetched again."},
	{ConfigBorrowed, "config-borrowed", "A control node passes on a configuration that another one has applied and it lacks itself."},
	{ZoneOrdered, "zone-ordered", "An operator's order to drain an availability zone, or to end that, was acknowledged: a majority of the control nodes keeps it."},
	{ZoneOrderRefused, "zone-order-refused", "An order about an availability zone was not acknowledged; the reason is given, and whether it may be carried out all the same."},
	{ZonesDrained, "zones-drained", "A process acts on newer orders about availability zones from now on; the drained ones are named."},
	{LeaderElected, "leader-elected", "A control node became leader of a term."},
	{LeaderLost, "leader-lost", "A control node stopped being leader, or lost sight of one."},
	{VoterChanged, "voter-changed", "The set of voting control nodes or learners changed."},
	{SnapshotSaved, "snapshot-saved", "A control node saved a snapshot and cut its log."},
	{SnapshotReceived, "snapshot-received", "A control node took over its state from the leader's snapshot."},
	{StorageFailed, "storage-failed", "A control node could not make its state durable and stops."},
	{QuorumChanged, "quorum-changed", "The number of voters that the leader hears, or of voters or learners, changed."},
	{JoinAsked, "join-asked", "A control node that knows no leader asked the others to be let in; what became of it changed."},
	{LeaderSeen, "leader-seen", "A control node follows another leader or none, or a new term began; what it has applied is given."},
	{AgreementDelayed, "agreement-delayed", "A message or a question waited long for the control node's agreement, or one turn of it took long."},
	{DiskSlow, "disk-slow", "A control node's writes to its data folder take long; what needs no disk goes on."},
	{DiskRecovered, "disk-recovered", "A control node's writes are no longer slow."},
	{AuthorityGranted, "authority-granted", "A planner holds an availability zone's authority at an epoch."},
	{AuthorityRefused, "authority-refused", "Another planner's lease on the availability zone may still run."},
	{AuthorityLost, "authority-lost", "A planner's lease ran out or a newer epoch was seen."},
	{ClaimGranted, "claim-granted", "A key of a not-to-be-repeated call was claimed for one run."},
	{ClaimRefused, "claim-refused", "The key was claimed before; the call is not run again."},
	{OrderSent, "order-sent", "A planner sent a fenced order to an engine."},
	{OrderInDoubt, "order-in-doubt", "An order got no answer; its memory stays counted."},
	{OrderSettled, "order-settled", "An engine's report proved what became of an order."},
	{OrderRefused, "order-refused", "An engine refused an order."},
	{ModelReady, "model-ready", "A copy of a model or adapter is ready to serve."},
	{ModelUnplaced, "model-unplaced", "No accelerator has room for a model that needs a copy."},
	{CopyPlanned, "copy-planned", "The planner decided to load a copy."},
	{CopyDropped, "copy-dropped", "The planner decided to unload a copy."},
	{HostLive, "host-live", "A host takes new work."},
	{HostSuspect, "host-suspect", "A host stopped answering and gets work only as a last resort."},
	{HostLeaving, "host-leaving", "A host is leaving and gets no new work."},
	{HostGone, "host-gone", "A host left the platform's list and answers no more."},
	{ReplicaChanged, "replica-changed", "What a replica says of itself, or whether it is heard, changed."},
	{ReplicasFound, "replicas-found", "Replicas that were not known are known now, and how many there are in all."},
	{CallRefused, "replica-call-refused", "A call in a replica's name was refused, with the place of what is wrong in it; what is known of the replica stays as it was."},
	{BackoffAsked, "backoff-asked", "A backend server turned this gateway away and asked it to send nothing for a time; the time is given."},
	{BackoffOver, "backoff-over", "A backend server that had asked this gateway to send nothing takes requests again."},
	{LeavingTold, "leaving-told", "A backend server said in an answer that it leaves; this gateway sends it nothing new."},
	{LimitTold, "limit-told", "A backend server named a limit of requests from all gateways together, changed it or takes all again; the values and their age are given."},
	{WordUnknown, "word-unknown", "A backend server says something in an answer or a call that the product does not know; each name is told once."},
	{ControlFound, "control-found", "A control node is in reach and its news arrive."},
	{ControlLost, "control-lost", "A control node is out of reach; its last word counts for a while."},
	{NewsNotSent, "news-not-sent", "What the followers should be told could not be encoded; they keep to what they know."},
	{RequestRouted, "request-routed", "A request was sent to a backend server."},
	{RequestRetried, "request-retried", "A request that did not run, or may be repeated, goes to another backend server."},
	{RequestRefused, "request-refused", "A request was refused; the reason and whether it ran are given."},
	{RequestResumed, "request-resumed", "A broken stream goes on from the last token passed on."},
	{RequestFinished, "request-finished", "A client got its whole answer."},
	{RequestLeft, "request-left", "The client closed its connection before the answer was whole."},
	{HostEjected, "host-ejected", "A gateway avoids a backend server after failures in a row."},
	{ReplicaEnded, "replica-ended", "A replica ended while requests were under way there; the witness and the digests of the requests' contents are given."},
	{KeyRefused, "key-refused", "A request carried no key, or one that no client account holds."},
	{QuotaSpent, "quota-spent", "A request was refused because its client account had nothing left of its limit."},
	{AdmissionUnsure, "admission-unsure", "A request with a key was refused because nobody in reach could say whether its account had something left, or whether the configuration was still the newest."},
	{TrustLost, "trust-lost", "A gateway has not known for too long that its configuration is the newest; it serves no request with a key."},
	{TrustRegained, "trust-regained", "A gateway knows again that its configuration is the newest."},
	{ContentHeld, "content-quarantined", "Requests with one content are refused, because backend servers ended while they ran such requests; the digest, the backend servers and the time are given."},
	{ContentFreed, "content-freed", "Requests with a content are sent again: a run came to a good end, an operator lifted the quarantine, or its time is over."},
	{FaultSwitched, "fault-switched", "A test switched a fault on or off; never seen in production."},
}

// Catalogue returns every kind in the order of its number.
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
