package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Parameters of the simulated fleet.
const (
	simStep = 10 * time.Millisecond
	// simPropagationLimit is the time after the third failure within which all connected gateways
	// must know.
	simPropagationLimit = 3 * time.Second
	// simRestartTime is how long a replica that failed is away.
	simRestartTime = 3 * time.Second
	// simRunTime is how long a request runs, also one that crashes its replica.
	simRunTime = 80 * time.Millisecond
	// simMaxDelay is the longest delay of a message between processes.
	simMaxDelay = 300 * time.Millisecond
)

// simRequest is a running request.
type simRequest struct {
	content     Digest
	parts       []Key
	gateway     int
	beginsAt    time.Time
	completesAt time.Time
	poison      bool
	// retries is how often its client sends it again.
	retries int
}

type simReplica struct {
	incarnation string
	availableAt time.Time
	running     []simRequest
}

type simMessage struct {
	at      time.Time
	to      *Table
	gateway *Tracker
	entries []Entry
}

// simFleet is a fleet of gateways with one table for all control nodes, on virtual time.
type simFleet struct {
	random           *rand.Rand
	now              time.Time
	gateways         []*Tracker
	control          *Table
	sentVersions     []uint64
	forwardedVersion uint64
	replicas         []*simReplica
	incarnations     int
	messages         []simMessage
	// partitionedUntil is until when the first gateway is disconnected.
	partitionedUntil time.Time

	// runTime is how long a request runs, beginTime after which time its response begins.
	runTime, beginTime time.Duration
	// affinity is the share of requests that go to the replica of their first part.
	affinity float64
	// messageLoss is the share of messages that are lost.
	messageLoss float64

	poisonFailures []time.Time
	// refusedParts counts the refused harmless requests by the part that was held.
	refusedParts map[string]int
	// wronglyRefused counts refused requests whose content is harmless.
	wronglyRefused, sent int
}

func newSimFleet(seed uint64, gateways, replicas int) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), now: noon, control: newTestTable(), sentVersions: make([]uint64, gateways), runTime: simRunTime, beginTime: simRunTime, refusedParts: map[string]int{}}
	for range gateways {
		f.gateways = append(f.gateways, NewTracker(newTestTable()))
	}
	for range replicas {
		f.replicas = append(f.replicas, &simReplica{incarnation: f.newIncarnation()})
	}
	return f
}

func (f *simFleet) newIncarnation() string {
	f.incarnations++
	return fmt.Sprint("life-", f.incarnations)
}

// send sends a request through a gateway to an available replica.
func (f *simFleet) send(gateway int, content Digest, poison bool, retries int) {
	f.sendRequest(simRequest{content: content, gateway: gateway, poison: poison, retries: retries})
}

func (f *simFleet) sendRequest(request simRequest) {
	if !request.poison {
		f.sent++
	}
	by, _, blocked := f.gateways[request.gateway].Blocked(f.now, Request{Content: request.content, Parts: request.parts}, &Trial{})
	if blocked {
		if !request.poison {
			f.wronglyRefused++
			f.refusedParts[by.Name()]++
		}
		return
	}
	var available []*simReplica
	for _, r := range f.replicas {
		if !f.now.Before(r.availableAt) {
			available = append(available, r)
		}
	}
	if len(available) == 0 {
		return
	}
	r := available[f.random.IntN(len(available))]
	if len(request.parts) > 0 && f.affinity > 0 && f.random.Float64() < f.affinity {
		r = available[int(request.parts[0].Digest[0])%len(available)]
	}
	request.beginsAt, request.completesAt = f.now.Add(f.beginTime), f.now.Add(f.runTime)
	r.running = append(r.running, request)
}

// step advances the time by simStep.
func (f *simFleet) step() {
	f.now = f.now.Add(simStep)
	for _, r := range f.replicas {
		f.runRequests(r)
	}
	f.propagate()
}

// runRequests completes the requests of a replica that are due.
func (f *simFleet) runRequests(r *simReplica) {
	for _, request := range r.running {
		if request.poison && !f.now.Before(request.beginsAt) {
			f.poisonFailures = append(f.poisonFailures, f.now)
			f.failReplica(r)
			return
		}
	}
	var left []simRequest
	for _, request := range r.running {
		if f.now.Before(request.completesAt) {
			left = append(left, request)
			continue
		}
		f.gateways[request.gateway].RecordSuccess(f.now, request.content)
		f.gateways[request.gateway].RecordPartSuccess(f.now, request.parts)
	}
	r.running = left
}

// failReplica ends a replica; clients retry its running requests through any gateway.
func (f *simFleet) failReplica(r *simReplica) {
	running, incarnation := r.running, r.incarnation
	r.running, r.incarnation, r.availableAt = nil, f.newIncarnation(), f.now.Add(simRestartTime)
	for i, guard := range f.gateways {
		var mine []Request
		for _, request := range running {
			if request.gateway == i {
				mine = append(mine, Request{Content: request.content, Parts: request.parts, Begun: !request.poison && f.now.After(request.beginsAt)})
			}
		}
		if len(mine) > 0 {
			guard.AttributeFailure(f.now, incarnation, mine)
		}
	}
	for _, request := range running {
		if !request.poison && request.retries > 0 {
			request.gateway, request.retries = f.random.IntN(len(f.gateways)), request.retries-1
			f.sendRequest(request)
		}
	}
}

// propagate exchanges entries between the processes.
func (f *simFleet) propagate() {
	for i, guard := range f.gateways {
		if i == 0 && f.now.Before(f.partitionedUntil) {
			continue
		}
		entries, stamp := guard.OwnSince(f.now, f.sentVersions[i])
		f.sentVersions[i] = stamp
		f.enqueue(simMessage{to: f.control}, entries)
	}
	if entries, stamp := f.control.Since(f.now, f.forwardedVersion); len(entries) > 0 {
		f.forwardedVersion = stamp
		for i, guard := range f.gateways {
			if i == 0 && f.now.Before(f.partitionedUntil) {
				continue
			}
			f.enqueue(simMessage{gateway: guard}, f.control.Entries(f.now, 2))
		}
	}
	if f.messageLoss > 0 && f.now.Sub(noon)%time.Second == 0 {
		f.repeatMessages()
	}
	kept := f.messages[:0]
	for _, n := range f.messages {
		switch {
		case f.now.Before(n.at):
			kept = append(kept, n)
		case n.gateway != nil:
			n.gateway.MergeFromControl(f.now, n.entries)
		default:
			n.to.Merge(f.now, n.entries)
		}
	}
	f.messages = kept
}

// repeatMessages sends the recent observations of gateways and all entries of control nodes again.
func (f *simFleet) repeatMessages() {
	for i, guard := range f.gateways {
		if i > 0 || !f.now.Before(f.partitionedUntil) {
			f.enqueue(simMessage{to: f.control}, guard.OwnWithin(f.now, 10*time.Second))
			f.enqueue(simMessage{gateway: guard}, f.control.Entries(f.now, 2))
		}
	}
}

func (f *simFleet) enqueue(n simMessage, entries []Entry) {
	if len(entries) == 0 || f.messageLoss > 0 && f.random.Float64() < f.messageLoss {
		return
	}
	n.at = f.now.Add(time.Duration(f.random.Int64N(int64(simMaxDelay))))
	n.entries = entries
	f.messages = append(f.messages, n)
}

// lateFailures returns how many replicas failed later than simPropagationLimit after the third.
func (f *simFleet) lateFailures() int { return f.lateAfter(3) }

// lateAfter returns how many replicas failed later than simPropagationLimit after the given one.
func (f *simFleet) lateAfter(number int) int {
	late := 0
	for _, at := range f.poisonFailures {
		if len(f.poisonFailures) >= number && at.After(f.poisonFailures[number-1].Add(simPropagationLimit)) {
			late++
		}
	}
	return late
}

// sendOtherTraffic sends the harmless requests of one step: a common content, and a new one each
// time.
func (f *simFleet) sendOtherTraffic(common Digest, count *int) {
	if f.random.IntN(3) == 0 {
		f.send(f.random.IntN(len(f.gateways)), common, false, 1)
	}
	if f.random.IntN(2) == 0 {
		*count++
		f.send(f.random.IntN(len(f.gateways)), testDigest(1000+*count), false, 3)
	}
}

// TestADeadlyContentIsBoundedAndNobodyElse sends a content that crashes its replicas every 50 to
// 1,500 ms through the gateways in turn. For any number of gateways and replicas and any message
// delays, at most three more replicas fail later than simPropagationLimit after the third, and no
// other request is refused because of it.
func TestADeadlyContentIsBoundedAndNobodyElse(t *testing.T) {
	var wronglyRefused, sent int
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		f := newSimFleet(seed, 1+random.IntN(9), 4+random.IntN(20))
		every := time.Duration(50+random.IntN(1450)) * time.Millisecond
		if len(f.gateways) > 1 && seed%4 == 0 {
			f.partitionedUntil = noon.Add(time.Duration(random.IntN(6)) * time.Second)
		}
		poison, common := testDigest(1), testDigest(2)
		ownCount, turn := 0, 0
		next := noon.Add(time.Second)
		for f.now.Before(noon.Add(30 * time.Second)) {
			if !f.now.Before(next) {
				next = next.Add(every)
				turn++
				if at := turn % len(f.gateways); at != 0 || !f.now.Before(f.partitionedUntil) {
					f.send(at, poison, true, 0)
				}
			}
			f.sendOtherTraffic(common, &ownCount)
			f.step()
		}
		if late := f.lateFailures(); late > 3 || len(f.poisonFailures) < Threshold {
			t.Errorf("seed %d: %d failures later than simPropagationLimit, %d in all", seed, late, len(f.poisonFailures))
		}
		wronglyRefused += f.wronglyRefused
		sent += f.sent
	}
	t.Logf("of %d requests of others %d were refused", sent, wronglyRefused)
	if wronglyRefused*10_000 > sent {
		t.Errorf("of %d requests of others %d were refused", sent, wronglyRefused)
	}
}

// TestALossOfManyReplicasCondemnsNothing ends half of the replicas at once, four times, while a
// common content is running on most of them; no request is refused at any gateway.
func TestALossOfManyReplicasCondemnsNothing(t *testing.T) {
	for seed := range uint64(100) {
		f := newSimFleet(seed, 1+int(seed%9), 8)
		common, ownCount := testDigest(2), 0
		for i := 0; f.now.Before(noon.Add(20 * time.Second)); i++ {
			if i%400 == 399 {
				for _, r := range f.replicas[:4] {
					f.failReplica(r)
				}
			}
			f.sendOtherTraffic(common, &ownCount)
			f.step()
		}
		// A gateway that did not run the content recently can't know that it is harmless; the
		// others tell it.
		if f.wronglyRefused*1000 > f.sent {
			t.Errorf("seed %d: of %d requests %d were refused", seed, f.sent, f.wronglyRefused)
		}
	}
}
