package exchange

import (
	"container/heap"
	"math/rand/v2"
	"os"
	"testing"
	"time"
)

// The simulated service. Full replicas reject a request and ask the gateway that sent it for a
// backoff, independently for each gateway.
const (
	simGateways = 6
	simReplicas = 4
	simSlots    = 8
	simQueue    = 4
	simWork     = 100 * time.Millisecond
	simTarget   = 600 * time.Millisecond
	simDeadline = 4 * time.Second
	simSpan     = 30 * time.Second
	simSeeds    = 3
	simTries    = 3
)

// simPolicy determines what happens to a request if no replica accepts requests: it waits if the
// first backoff ends within maxWait of its arrival.
type simPolicy struct {
	name    string
	maxWait time.Duration
	// ordered is set if waiting requests are queued by priority and account. Otherwise each of them
	// retries by itself.
	ordered bool
}

var simPolicies = []simPolicy{
	{"refused at once", 0, false},
	{"waits an eighth of its target", simTarget / 8, true},
	{"the same, without order", simTarget / 8, false},
	{"waits a third of its target", simTarget / 3, true},
	{"waits within its target", simTarget, true},
	{"the same, without order ", simTarget, false},
	{"waits within its deadline", simDeadline, true},
}

// simRequest is a request of one client.
type simRequest struct {
	arrivedAt    time.Duration
	priority     int
	gateway      int
	tries        int
	waited       time.Duration
	waitingSince time.Duration
	w            *waiter
}

type simEvent struct {
	at time.Duration
	do func()
}

type simQueueOf []simEvent

func (q simQueueOf) Len() int           { return len(q) }
func (q simQueueOf) Less(i, j int) bool { return q[i].at < q[j].at }
func (q simQueueOf) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueueOf) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *simQueueOf) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simReplica runs requests, and rejects them while it is full.
type simReplica struct {
	busy, queued int
	waiting      []func()
}

// sim is the state of one simulation.
type sim struct {
	policy     simPolicy
	backoff    time.Duration
	random     *rand.Rand
	now        time.Duration
	events     simQueueOf
	replicas   [simReplicas]simReplica
	backoffs   [simGateways][simReplicas]backoffState
	waitQueues [simGateways]*waitQueues
	// worth is the total worth to all clients, urgentWorth to those with urgent requests.
	worth, urgentWorth float64
	sent, urgent       int
	lateServed         int
	rejected           int
}

var simKey = queueKey{service: "s"}

func (s *sim) clock() time.Time { return noon.Add(s.now) }

func (s *sim) after(d time.Duration, do func()) {
	heap.Push(&s.events, simEvent{at: s.now + d, do: do})
}

func runSim(policy simPolicy, load float64, backoff time.Duration, seed uint64) *sim {
	s := &sim{policy: policy, backoff: backoff, random: rand.New(rand.NewPCG(seed, 43))}
	for i := range s.waitQueues {
		s.waitQueues[i] = newWaitQueues()
	}
	rate := load * simReplicas * simSlots / simWork.Seconds()
	for at := 0.0; at < simSpan.Seconds(); at += s.random.ExpFloat64() / rate {
		r := &simRequest{arrivedAt: time.Duration(at * float64(time.Second)), priority: s.random.IntN(2), gateway: s.random.IntN(simGateways)}
		s.sent++
		s.urgent += 1 - r.priority
		heap.Push(&s.events, simEvent{at: r.arrivedAt, do: func() { s.offer(r, 0) }})
	}
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(simEvent)
		s.now = next.at
		next.do()
	}
	return s
}

// offer sends a request to the accepting replica with the least load. If there is none, it lets the
// request wait or refuses it.
func (s *sim) offer(r *simRequest, tried int) {
	best, opens := -1, time.Duration(0)
	for i := range s.replicas {
		from, taken := s.backoffs[r.gateway][i].accepts(s.clock())
		if !taken {
			if wait := from.Sub(s.clock()); opens == 0 || wait < opens {
				opens = wait
			}
			continue
		}
		if tried&(1<<i) == 0 && (best < 0 || s.replicas[i].busy < s.replicas[best].busy) {
			best = i
		}
	}
	switch {
	case best >= 0 && (r.w != nil || !s.policy.ordered || !s.waitQueues[r.gateway].any(simKey)):
		s.leaveQueue(r)
		s.send(r, best, tried)
	case tried != 0 || s.now+opens > r.arrivedAt+s.policy.maxWait || s.policy.maxWait == 0:
		s.leaveQueue(r)
		s.refuse(r, opens)
	default:
		s.wait(r, opens)
	}
}

func (s *sim) leaveQueue(r *simRequest) {
	if r.w == nil {
		return
	}
	r.waited += s.now - r.waitingSince
	s.waitQueues[r.gateway].remove(simKey, r.w)
	r.w = nil
}

func (s *sim) wait(r *simRequest, opens time.Duration) {
	line := s.waitQueues[r.gateway]
	if r.w == nil {
		if r.w = line.enqueue(simKey, r.priority, "", simReplicas*simSlots); r.w == nil {
			s.refuse(r, opens)
			return
		}
		r.waitingSince = s.now
	}
	s.after(10*time.Millisecond, func() {
		if line.wasEvicted(r.w) {
			r.waited += s.now - r.waitingSince
			r.w = nil
			s.refuse(r, opens)
			return
		}
		if s.policy.ordered && !line.isFirst(simKey, r.w) && s.now < r.arrivedAt+s.policy.maxWait {
			s.wait(r, opens)
			return
		}
		s.offer(r, 0)
	})
}

func (s *sim) send(r *simRequest, to, tried int) {
	in, replica := &s.backoffs[r.gateway][to], &s.replicas[to]
	in.admit(s.clock())
	s.after(time.Millisecond, func() {
		if replica.busy < simSlots {
			in.noteAccepted(s.clock())
			s.run(r, replica)
			return
		}
		if replica.queued < simQueue {
			in.noteAccepted(s.clock())
			replica.queued++
			replica.waiting = append(replica.waiting, func() { s.run(r, replica) })
			return
		}
		s.rejected++
		in.backOff(s.clock(), s.backoff, s.random.Float64())
		s.offer(r, tried|1<<to)
	})
}

func (s *sim) run(r *simRequest, replica *simReplica) {
	replica.busy++
	s.after(simWork, func() {
		replica.busy--
		if len(replica.waiting) > 0 {
			next := replica.waiting[0]
			replica.waiting = replica.waiting[1:]
			replica.queued--
			next()
		}
		s.done(r)
	})
}

func (s *sim) done(r *simRequest) {
	took := s.now - r.arrivedAt
	worth := 0.0
	switch {
	case took <= simTarget:
		worth = 1
	case took <= simDeadline:
		worth = 0.5
		s.lateServed++
	}
	s.earn(r, worth)
}

func (s *sim) earn(r *simRequest, worth float64) {
	s.worth += worth
	if r.priority == 0 {
		s.urgentWorth += worth
	}
}

// refuse ends a request. Its client retries after the announced time if that is within a third of
// the remaining time. Waiting in vain has a cost that grows with the time waited.
func (s *sim) refuse(r *simRequest, opens time.Duration) {
	r.tries++
	back := jitterRetry(opens, s.random.Float64())
	if left := r.arrivedAt + simDeadline - s.now; r.tries < simTries && back <= left/3 {
		r.gateway = s.random.IntN(simGateways)
		s.after(back, func() { s.offer(r, 0) })
		return
	}
	s.earn(r, -min(1, float64(r.waited)/float64(simTarget)))
}

// simCell is one combination of backoff and load.
type simCell struct {
	backoff time.Duration
	load    float64
}

// simMean returns the mean worth of a policy over cells and seeds.
func simMean(t *testing.T, way simPolicy, cells []simCell) float64 {
	sum := 0.0
	for _, cell := range cells {
		var total, urgent, late, off float64
		for seed := range uint64(simSeeds) {
			s := runSim(way, cell.load, cell.backoff, seed)
			total += s.worth / float64(s.sent) / simSeeds
			urgent += s.urgentWorth / float64(s.urgent) / simSeeds
			late += float64(s.lateServed) / float64(s.sent) / simSeeds
			off += float64(s.rejected) / float64(s.sent) / simSeeds
		}
		sum += total
		t.Logf("%-34s backoff %-5s load %.1f worth %.3f urgent %.3f late %.3f rejected %.3f", way.name, cell.backoff, cell.load, total, urgent, late, off)
	}
	mean := sum / float64(len(cells))
	t.Logf("%-34s mean worth %.3f", way.name, mean)
	return mean
}

// simCells returns all combinations of backoffs and loads.
func simCells(rests []time.Duration, loads []float64) []simCell {
	var cells []simCell
	for _, rest := range rests {
		for _, load := range loads {
			cells = append(cells, simCell{rest, load})
		}
	}
	return cells
}

// TestAShortWaitForAReplicaIsBestForCallers: the policy in use is better than refusing at once and
// than waiting for the whole target. With MOORSPOOL_WAYS set, the test prints the results of all
// policies at all loads.
func TestAShortWaitForAReplicaIsBestForCallers(t *testing.T) {
	if os.Getenv("MOORSPOOL_WAYS") != "" {
		for _, way := range simPolicies {
			simMean(t, way, simCells([]time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second}, []float64{0.8, 1, 1.2, 2}))
		}
		return
	}
	cells := simCells([]time.Duration{300 * time.Millisecond, time.Second}, []float64{1, 2})
	refused, short, long := simMean(t, simPolicies[0], cells), simMean(t, simPolicies[1], cells), simMean(t, simPolicies[4], cells)
	if short < refused || short < long {
		t.Errorf("worth %.3f with a short wait, %.3f refused at once, %.3f with a long wait", short, refused, long)
	}
}
