package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// What a measurement of streams that begin after the loss of all gateways does.
const (
	// begunReplicas is the number of replicas, half of which leave in each round.
	begunReplicas = 8
	begunRounds   = 6
	begunWarmUp   = 1500 * time.Millisecond
	begunRound    = 4 * time.Second
	begunWorkers  = 24
	begunPause    = 60 * time.Millisecond
	// begunBack is how long after the loss of the gateways clients are back.
	begunBack = 1500 * time.Millisecond
	// begunTrouble is how long a control node stands still or heartbeats stay away, from up to begunShift
	// before the loss on.
	begunTrouble = 3 * time.Second
	begunShift   = 400 * time.Millisecond
	// begunLate is how late a heartbeat comes at most.
	begunLate = 2 * time.Second
	// begunStep is the length of the parts of a round for which streams are counted.
	begunStep = 500 * time.Millisecond
)

// begunKind is what happens besides as all gateways are lost and the replicas of one software version leave.
type begunKind struct {
	// crash is set if the replicas end without a word.
	crash bool
	// still is how many control nodes stand still, killed how many are lost with the gateways.
	still, killed int
	// quiet is set if the other replicas send no heartbeats for begunTrouble.
	quiet bool
	// sameBody is set if all streams have the same body.
	sameBody bool
	// place is set if other replicas start at once at the addresses of those that end, whose last heartbeats
	// come late; undated if no replica tells when it started.
	place, undated bool
	// stay is how many replicas stay, 0 for half of them. cold is set if they are cold as the others leave.
	stay int
	cold bool
	// heard is set if all replicas sent heartbeats to all control nodes before, and then only to the one that is
	// killed. keep is set if no gateway is lost and no client goes away.
	heard, keep bool
	// beside is set if the load of the other measurements runs beside the streams.
	beside bool
}

// begunKinds are the kinds, by the value of the flag.
var begunKinds = map[string]begunKind{
	"begun":           {},
	"begun-crash":     {crash: true},
	"begun-still":     {still: 1},
	"begun-still-two": {still: 2},
	"begun-killed":    {killed: 1},
	"begun-all":       {killed: controlNodeCount},
	"begun-quiet":     {quiet: true},
	"begun-same":      {crash: true, sameBody: true},
	"begun-headless":  {still: 1, killed: 1},
	"begun-place":     {crash: true, place: true, undated: true},
	"begun-moved":     {place: true, undated: true, still: 1, killed: 1},
	"begun-heard":     {heard: true, killed: 1},
	"begun-beats":     {heard: true, killed: 1, keep: true},
	"begun-two":       {beside: true, stay: 2},
	"begun-one":       {beside: true, stay: 1},
	"begun-cold":      {cold: true},
	"begun-worst":     {crash: true, still: 1, killed: 1, quiet: true},
}

// begunCount counts the streams of a part of a round.
type begunCount struct {
	tried, begun int
	// refused counts the others by status, 0 for no answer.
	refused map[int]int
}

// begunMeasurement counts what becomes of streams that begin.
type begunMeasurement struct {
	kind     begunKind
	in       *installation
	replicas *replicas
	clients  *clients
	random   *rand.Rand

	mu sync.Mutex
	// lostAt is when the gateways were last lost, the zero time before, and counts holds the streams since
	// by the part of the round.
	lostAt time.Time
	counts map[int]*begunCount
	// takenUp and wentOn count the streams that broke off with their gateway and were taken up.
	takenUp, wentOn int
}

// measureBegun lets all gateways be lost again and again as the replicas of the older software version leave,
// and counts the streams that begin afterwards.
func measureBegun(o options) error {
	in, err := newInstallation(o, defaultStop)
	if err != nil {
		return err
	}
	defer in.shutDown()
	go in.shutDownOnSignal()
	check := newChecker()
	r, err := newReplicas(in, check, newZoneDrains(), replicaPlan{count: begunReplicas, slots: replicaSlots, backlog: defaultBacklog, software: "v0", closesShort: true, undated: begunKinds[o.Measure].undated})
	if err != nil {
		return err
	}
	defer r.close()
	if err := in.startAll(); err != nil {
		return err
	}
	if err := newOperators(in, check, newZoneDrains()).createConfiguration(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.sendHeartbeats(ctx)
	c := newClients(in, check, r)
	if err := c.waitUntilServing(); err != nil {
		return err
	}
	m := &begunMeasurement{kind: begunKinds[o.Measure], in: in, replicas: r, clients: c, random: rand.New(rand.NewPCG(o.Seed, 19)), counts: map[int]*begunCount{}}
	var work sync.WaitGroup
	for worker := range begunWorkers {
		work.Go(func() { m.sendStreams(ctx, worker) })
	}
	others := measurement{duration: time.Hour}
	for worker := range measureWorkers {
		if m.kind.beside {
			work.Go(func() { others.sendRequests(ctx, c, worker, time.Now()) })
		}
	}
	err = m.play(ctx)
	cancel()
	work.Wait()
	m.print(o.Measure)
	return err
}

// play plays the rounds.
func (m *begunMeasurement) play(ctx context.Context) error {
	for round := 1; round <= begunRounds; round++ {
		if err := m.join(fmt.Sprint("v", round)); err != nil {
			return err
		}
		time.Sleep(begunWarmUp)
		m.lose(fmt.Sprint("v", round-1))
		select {
		case <-ctx.Done():
		case <-time.After(begunRound):
		}
	}
	return nil
}

// join fills the places of the replicas that left, and replaces some by ones of a software version.
func (m *begunMeasurement) join(software string) error {
	if err := m.fill(); err != nil {
		return err
	}
	time.Sleep(2 * heartbeatInterval) // they are listed
	r := m.replicas
	r.mu.Lock()
	r.plan.software = software
	replaced := append([]*replica(nil), r.list[:m.kind.staying()]...)
	r.mu.Unlock()
	for _, rep := range replaced {
		r.remove(rep)
		r.call(rep, http.MethodDelete, nil)
		rep.close()
	}
	return m.fill()
}

// fill starts a replica at each host that has none.
func (m *begunMeasurement) fill() error {
	r := m.replicas
	r.mu.Lock()
	taken := map[int]bool{}
	for _, rep := range r.list {
		taken[rep.host] = true
	}
	r.mu.Unlock()
	for host := 1; host <= begunReplicas; host++ {
		if taken[host] {
			continue
		}
		rep, err := r.start(host)
		if err != nil {
			return errors.Wrap(err, "starting a replica")
		}
		if m.kind.cold {
			rep.cold.begin()
		}
	}
	return nil
}

// staying returns how many replicas are not of the version that leaves.
func (k *begunKind) staying() int {
	if k.stay > 0 {
		return k.stay
	}
	return begunReplicas / 2
}

// lose kills all gateways as the replicas of a software version leave.
func (m *begunMeasurement) lose(software string) {
	controls := append([]*member(nil), m.in.controlNodes()...)
	m.random.Shuffle(len(controls), func(i, j int) { controls[i], controls[j] = controls[j], controls[i] })
	still, killed := controls[:m.kind.still], controls[len(controls)-m.kind.killed:]
	if m.kind.heard {
		m.sendHeartbeatsTo(killed[0])
	}
	troubleAt := time.Now()
	signalAll(still, syscall.SIGSTOP)
	if m.kind.quiet {
		m.replicas.quietUntil.Store(troubleAt.Add(begunTrouble).UnixNano())
	}
	time.Sleep(time.Duration(m.random.Int64N(int64(begunShift))))
	left := m.replicas.leaveAll(software, false)
	if !m.kind.crash {
		go m.deregister(left)
	}
	early := m.kind.place || m.random.IntN(2) == 0
	if early {
		closeAll(left)
	}
	if m.kind.place {
		m.takePlaces(left)
	}
	time.Sleep(time.Duration(m.random.Int64N(int64(begunShift / 4))))
	m.mu.Lock()
	m.lostAt = time.Now()
	m.mu.Unlock()
	downtime := time.Duration(m.random.Int64N(int64(endsDowntime)))
	var starts sync.WaitGroup
	lostNodes := append([]*member(nil), killed...)
	if !m.kind.keep {
		lostNodes = append(lostNodes, m.in.gatewayNodes()...)
	}
	for _, lost := range lostNodes {
		starts.Go(func() { m.in.restart(lost, syscall.SIGKILL, downtime, nil) })
	}
	starts.Wait()
	if !early {
		closeAll(left)
	}
	time.Sleep(time.Until(troubleAt.Add(begunTrouble)))
	signalAll(still, syscall.SIGCONT)
}

// sendHeartbeatsTo lets all replicas send a heartbeat to each control node, and then only to one until they are
// silent for the others.
func (m *begunMeasurement) sendHeartbeatsTo(last *member) {
	r := m.replicas
	for turn := range 2 * controlNodeCount {
		r.mu.Lock()
		for _, rep := range r.list {
			rep.nextControlNode = turn % controlNodeCount
			if turn >= controlNodeCount {
				rep.nextControlNode = slices.Index(m.in.controlNodes(), last)
			}
		}
		r.mu.Unlock()
		time.Sleep(heartbeatInterval + begunStep/2)
	}
}

// takePlaces starts replicas at the addresses of those that have ended, and sends a last heartbeat of each of
// these later.
func (m *begunMeasurement) takePlaces(left []*replica) {
	for _, rep := range left {
		if _, err := m.replicas.start(rep.host); err != nil {
			fmt.Println("a replica did not start:", err)
		}
		late := time.Duration(m.random.Int64N(int64(begunLate)))
		time.AfterFunc(late, func() { m.replicas.register(rep, "ready") })
	}
}

func closeAll(list []*replica) {
	for _, rep := range list {
		rep.close()
	}
}

func (m *begunMeasurement) deregister(left []*replica) {
	for _, rep := range left {
		go m.replicas.call(rep, http.MethodDelete, nil)
	}
}

// sendStreams begins streams at the gateways in turn, and takes each up that its gateway's loss broke off.
func (m *begunMeasurement) sendStreams(ctx context.Context, worker int) {
	gateways := m.in.gatewayNodes()
	for turn := worker; ctx.Err() == nil; turn++ {
		time.Sleep(begunPause)
		lostAt, away := m.lastLoss()
		time.Sleep(away)
		id := m.clients.id()
		begunAt := time.Now()
		got := m.send(gateways[turn%len(gateways)], id, "", 0)
		held := parseStream(got.body)
		now, away := m.lastLoss()
		if now != lostAt && !m.kind.keep {
			time.Sleep(away)
			m.takeUp(gateways[(turn+1)%len(gateways)], id, held)
			continue
		}
		m.record(lostAt, begunAt, held, got.status)
	}
}

// send sends one request for a stream.
func (m *begunMeasurement) send(gateway *member, id, resumes string, after int) rawResponse {
	body := sharedBody
	if !m.kind.sameBody {
		body = "body of " + id
	}
	return sendStreamWith(m.in.processAddress(gateway, m.in.callPort()), endsClass{"e", "HTTP/1.1"}, id, body, resumes, after)
}

// lastLoss returns when the gateways were last lost, and how long clients still stay away.
func (m *begunMeasurement) lastLoss() (lostAt time.Time, away time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lostAt.IsZero() || m.kind.keep {
		return m.lostAt, 0
	}
	return m.lostAt, time.Until(m.lostAt.Add(begunBack))
}

// takeUp takes up a stream that broke off as its gateway was lost.
func (m *begunMeasurement) takeUp(gateway *member, begun string, held streamPart) {
	if held.last == 0 || held.last == streamEvents {
		return
	}
	got := m.send(gateway, m.clients.id(), begun, held.last)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.takenUp++
	m.wentOn += asNumber(parseStream(got.body).last > 0)
}

// record counts a stream that a client began after a loss.
func (m *begunMeasurement) record(lostAt, begunAt time.Time, got streamPart, status int) {
	if lostAt.IsZero() || begunAt.Sub(lostAt) > begunRound {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	step := int(begunAt.Sub(lostAt) / begunStep)
	count := m.counts[step]
	if count == nil {
		count = &begunCount{refused: map[int]int{}}
		m.counts[step] = count
	}
	count.tried++
	if got.last > 0 {
		count.begun++
		return
	}
	count.refused[status]++
}

func (m *begunMeasurement) print(kind string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	tried, begun := 0, 0
	for _, step := range slices.Sorted(maps.Keys(m.counts)) {
		count := m.counts[step]
		tried += count.tried
		begun += count.begun
		if len(count.refused) > 0 {
			fmt.Printf("from %s after the loss on: %d of %d streams began, others by status %v\n", time.Duration(step)*begunStep, count.begun, count.tried, count.refused)
		}
	}
	fmt.Printf("%s: of %d streams %.4f began; of %d taken up %d went on\n", kind, tried, float64(begun)/float64(max(tried, 1)), m.takenUp, m.wentOn)
}
