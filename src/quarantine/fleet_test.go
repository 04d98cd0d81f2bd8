package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The numbers of the simulated fleet.
const (
	simStep = 10 * time.Millisecond
	// simContact is within what time after the third end all gateways in touch must know.
	simContact = 3 * time.Second
	// simAway is how long a replica that ended is away.
	simAway = 3 * time.Second
	// simRun is how long a request runs, and how long one that ends its replica does.
	simRun = 80 * time.Millisecond
	// simSpread is the longest that news takes from one process to another.
	simSpread = 300 * time.Millisecond
)

// simRequest is a request under way.
type simRequest struct {
	content Digest
	gateway int
	ends    time.Time
	deadly  bool
	// tries is how often its client sends it again.
	tries int
}

type simReplica struct {
	life  string
	back  time.Time
	under []simRequest
}

type simNews struct {
	at      time.Time
	to      *Table
	gateway *Guard
	entries []Entry
}

// simFleet is gateways with one table of the control nodes, on virtual time.
type simFleet struct {
	random   *rand.Rand
	now      time.Time
	gateways []*Guard
	control  *Table
	told     []uint64
	passed   uint64
	replicas []*simReplica
	lives    int
	news     []simNews
	// cutUntil is until when the first gateway is cut off.
	cutUntil time.Time

	deadlyEnds []time.Time
	// condemned counts sends that were refused though their content ends nothing.
	condemned, sent int
}

func newSimFleet(seed uint64, gateways, replicas int) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), now: noon, control: quietTable(), told: make([]uint64, gateways)}
	for range gateways {
		f.gateways = append(f.gateways, NewGuard(quietTable()))
	}
	for range replicas {
		f.replicas = append(f.replicas, &simReplica{life: f.newLife()})
	}
	return f
}

func (f *simFleet) newLife() string {
	f.lives++
	return fmt.Sprint("life-", f.lives)
}

// send sends a request by a gateway to a replica that is there.
func (f *simFleet) send(gateway int, content Digest, deadly bool, tries int) {
	if !deadly {
		f.sent++
	}
	if _, held := f.gateways[gateway].Held(f.now, content); held {
		if !deadly {
			f.condemned++
		}
		return
	}
	var there []*simReplica
	for _, r := range f.replicas {
		if !f.now.Before(r.back) {
			there = append(there, r)
		}
	}
	if len(there) == 0 {
		return
	}
	r := there[f.random.IntN(len(there))]
	r.under = append(r.under, simRequest{content: content, gateway: gateway, ends: f.now.Add(simRun), deadly: deadly, tries: tries})
}

// step moves the time on by simStep.
func (f *simFleet) step() {
	f.now = f.now.Add(simStep)
	for _, r := range f.replicas {
		f.run(r)
	}
	f.spread()
}

// run lets requests come to their ends at a replica.
func (f *simFleet) run(r *simReplica) {
	for _, request := range r.under {
		if request.deadly && !f.now.Before(request.ends) {
			f.deadlyEnds = append(f.deadlyEnds, f.now)
			f.end(r)
			return
		}
	}
	var left []simRequest
	for _, request := range r.under {
		if f.now.Before(request.ends) {
			left = append(left, request)
			continue
		}
		f.gateways[request.gateway].Ran(f.now, request.content)
	}
	r.under = left
}

// end ends a replica; clients send what was under way again, at any gateway.
func (f *simFleet) end(r *simReplica) {
	under, life := r.under, r.life
	r.under, r.life, r.back = nil, f.newLife(), f.now.Add(simAway)
	for i, guard := range f.gateways {
		var mine []Digest
		for _, request := range under {
			if request.gateway == i {
				mine = append(mine, request.content)
			}
		}
		if len(mine) > 0 {
			guard.Ended(f.now, life, mine)
		}
	}
	for _, request := range under {
		if !request.deadly && request.tries > 0 {
			f.send(f.random.IntN(len(f.gateways)), request.content, false, request.tries-1)
		}
	}
}

// spread passes news on between the processes.
func (f *simFleet) spread() {
	for i, guard := range f.gateways {
		if i == 0 && f.now.Before(f.cutUntil) {
			continue
		}
		entries, stamp := guard.OwnSince(f.now, f.told[i])
		f.told[i] = stamp
		f.post(simNews{to: f.control}, entries)
	}
	if entries, stamp := f.control.Since(f.now, f.passed); len(entries) > 0 {
		f.passed = stamp
		for i, guard := range f.gateways {
			if i == 0 && f.now.Before(f.cutUntil) {
				continue
			}
			f.post(simNews{gateway: guard}, f.control.Entries(f.now, 2))
		}
	}
	kept := f.news[:0]
	for _, n := range f.news {
		switch {
		case f.now.Before(n.at):
			kept = append(kept, n)
		case n.gateway != nil:
			n.gateway.Take(f.now, n.entries)
		default:
			n.to.Merge(f.now, n.entries)
		}
	}
	f.news = kept
}

func (f *simFleet) post(n simNews, entries []Entry) {
	if len(entries) == 0 {
		return
	}
	n.at = f.now.Add(time.Duration(f.random.Int64N(int64(simSpread))))
	n.entries = entries
	f.news = append(f.news, n)
}

// lateEnds returns how many replicas ended later than the contact time after the third.
func (f *simFleet) lateEnds() int {
	late := 0
	for _, at := range f.deadlyEnds {
		if len(f.deadlyEnds) >= 3 && at.After(f.deadlyEnds[2].Add(simContact)) {
			late++
		}
	}
	return late
}

// others sends what others send in one step: a common content, and one of its own each time.
func (f *simFleet) others(common Digest, count *int) {
	if f.random.IntN(3) == 0 {
		f.send(f.random.IntN(len(f.gateways)), common, false, 1)
	}
	if f.random.IntN(2) == 0 {
		*count++
		f.send(f.random.IntN(len(f.gateways)), contentNumber(1000+*count), false, 3)
	}
}

// TestADeadlyContentIsBoundedAndNobodyElse: whatever the number of gateways and replicas and
// however the news travels, a content that ends what runs it, sent every 50 to 1,500 ms at the
// gateways in turn, ends three more replicas at the most later than the contact time after the
// third; what others send, alike or not, is not refused for it.
func TestADeadlyContentIsBoundedAndNobodyElse(t *testing.T) {
	var condemned, sent int
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		f := newSimFleet(seed, 1+random.IntN(9), 4+random.IntN(20))
		every := time.Duration(50+random.IntN(1450)) * time.Millisecond
		if len(f.gateways) > 1 && seed%4 == 0 {
			f.cutUntil = noon.Add(time.Duration(random.IntN(6)) * time.Second)
		}
		deadly, common := contentNumber(1), contentNumber(2)
		own, turn := 0, 0
		next := noon.Add(time.Second)
		for f.now.Before(noon.Add(30 * time.Second)) {
			if !f.now.Before(next) {
				next = next.Add(every)
				turn++
				if at := turn % len(f.gateways); at != 0 || !f.now.Before(f.cutUntil) {
					f.send(at, deadly, true, 0)
				}
			}
			f.others(common, &own)
			f.step()
		}
		if late := f.lateEnds(); late > 3 || len(f.deadlyEnds) < Threshold {
			t.Errorf("seed %d: %d ends later than the contact time, %d in all", seed, late, len(f.deadlyEnds))
		}
		condemned += f.condemned
		sent += f.sent
	}
	t.Logf("of %d requests of others %d were refused", sent, condemned)
	if condemned*10_000 > sent {
		t.Errorf("of %d requests of others %d were refused", sent, condemned)
	}
}

// TestALossOfManyReplicasCondemnsNothing: half of them end at once, four times, with a common
// content under way on most; nothing is refused, whatever gateway it reaches.
func TestALossOfManyReplicasCondemnsNothing(t *testing.T) {
	for seed := range uint64(100) {
		f := newSimFleet(seed, 1+int(seed%9), 8)
		common, own := contentNumber(2), 0
		for i := 0; f.now.Before(noon.Add(20 * time.Second)); i++ {
			if i%400 == 399 {
				for _, r := range f.replicas[:4] {
					f.end(r)
				}
			}
			f.others(common, &own)
			f.step()
		}
		// A gateway that did not serve the content lately can't know; the others tell it.
		if f.condemned*1000 > f.sent {
			t.Errorf("seed %d: of %d requests %d were refused", seed, f.sent, f.condemned)
		}
	}
}
