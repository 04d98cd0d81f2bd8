package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// What a measurement of silent replicas does.
const (
	silenceReplicas = 4
	silenceSlots    = 64
	silenceBacklog  = 16
	silenceEvents   = 12
	silencePace     = 90 * time.Millisecond
	// silencePlainTime is how long a plain answer takes. Gateways look after a replica that has sent nothing
	// for a shorter time.
	silencePlainTime = 1500 * time.Millisecond
	// silenceWarmUp is how long clients send before the first stop, silenceRound the time from one stop to
	// the next one, silenceRounds how many there are.
	silenceWarmUp = 3 * time.Second
	silenceRound  = 7 * time.Second
	silenceRounds = 4
	// maxSilenceShift is the longest pause before a round.
	maxSilenceShift = 300 * time.Millisecond
	// silenceDowntime is how long a gateway that stopped is gone.
	silenceDowntime = 500 * time.Millisecond
	// silenceTimeout is the time for an answer, silenceClientTimeout how long a client waits for it.
	silenceTimeout       = 5 * time.Second
	silenceClientTimeout = 6 * time.Second
	// deadlineSlack is how long before its deadline a request may be given up.
	deadlineSlack = 200 * time.Millisecond
	// silenceStreamPause and silencePlainPause are the pauses between two requests of a class.
	silenceStreamPause = 12 * time.Millisecond
	silencePlainPause  = 50 * time.Millisecond
	// maxLostIDs is how many lost requests of a class are named.
	maxLostIDs = 20
)

// silenceStop is how gateways stop in the measurement.
var silenceStop = plannedStop{limit: 8 * time.Second, balancerLag: 3 * time.Second}

// silenceKind is a way in which replicas fall silent around a planned stop.
type silenceKind struct {
	// replicas is how many fall silent, from delay after the stop for duration.
	replicas        int
	delay, duration time.Duration
	// accepting is set if only the accepting of connections rests.
	accepting bool
	// forward makes one gateway have no links to replicas.
	forward bool
	// alone leaves out all classes but the first.
	alone bool
	// bodies is what clients send and replicas do in place of silenceLoad, nil for that.
	bodies *bodyLoad
	// stop is how gateways are stopped; the limit is that of silenceStop.
	stop platformStop
}

var silenceKinds = map[string]silenceKind{
	"silence":         {replicas: silenceReplicas, delay: 600 * time.Millisecond, duration: 1200 * time.Millisecond},
	"silence-one":     {replicas: 1, delay: 600 * time.Millisecond, duration: 1200 * time.Millisecond},
	"silence-long":    {replicas: silenceReplicas, delay: 600 * time.Millisecond, duration: 2600 * time.Millisecond},
	"silence-accept":  {replicas: silenceReplicas, delay: 600 * time.Millisecond, duration: 1200 * time.Millisecond, accepting: true},
	"silence-early":   {replicas: silenceReplicas, delay: -500 * time.Millisecond, duration: 1200 * time.Millisecond},
	"silence-forward": {replicas: silenceReplicas, delay: 600 * time.Millisecond, duration: 1200 * time.Millisecond, forward: true},
	"silence-alone":   {replicas: silenceReplicas, delay: 600 * time.Millisecond, duration: 1200 * time.Millisecond, alone: true},
	"silence-none":    {},

	"bodies":               {bodies: &bodyLoad{over: slowBodyTime, work: quickWork}},
	"bodies-slow-replicas": {bodies: &bodyLoad{over: slowBodyTime, work: slowWork}},
	"bodies-silence":       {bodies: &bodyLoad{over: slowBodyTime, work: longWork}, replicas: bodyReplicas, delay: lateSilence, duration: longSilence},
	"bodies-at-once":       {bodies: &bodyLoad{work: slowWork}},

	"late-signal":        {bodies: &bodyLoad{work: slowWork}, stop: platformStop{pausedUntil: 300 * time.Millisecond}},
	"late-signal-short":  {bodies: &bodyLoad{work: slowWork}, stop: platformStop{pausedUntil: 100 * time.Millisecond}},
	"late-signal-long":   {bodies: &bodyLoad{work: slowWork}, stop: platformStop{pausedUntil: 900 * time.Millisecond}},
	"late-signal-after":  {bodies: &bodyLoad{work: slowWork}, stop: platformStop{pausedFrom: 200 * time.Millisecond, pausedUntil: 3600 * time.Millisecond}},
	"late-signal-bodies": {bodies: &bodyLoad{over: briefBodyTime, work: slowWork}, stop: platformStop{pausedUntil: 500 * time.Millisecond}},
	"hup-then-term":      {bodies: &bodyLoad{work: slowWork}, stop: platformStop{hangups: 40, heldSettings: true}},
}

// silenceClass is a kind of measured requests, by the first letter of their path.
type silenceClass struct {
	kind  string
	name  string
	pause time.Duration
	// route is the kind of the route, timeout the time for an answer.
	route    string
	timeout  time.Duration
	attempts int
	// resumable is set if streams may be resumed.
	resumable bool
}

// isStream reports whether answers are streams.
func (c silenceClass) isStream() bool { return c.route == "streaming" }

// measuredLoad is what clients send and replicas do beside planned stops.
type measuredLoad struct {
	classes           []silenceClass
	replicas, backlog int
	// pace is the time between two events of a stream, plainTime how long a plain answer takes.
	pace, plainTime time.Duration
	// rounds is how many gateways are stopped.
	rounds int
	// turnAway is how long after a signal clients leave the gateway that stops, 0 if they use it to the end.
	turnAway time.Duration
}

var silenceLoad = measuredLoad{
	classes: []silenceClass{
		{"o", "streams that run once", silenceStreamPause, "streaming", silenceTimeout, 1, false},
		{"r", "streams that may be resumed", silencePlainPause, "streaming", silenceTimeout, 2, true},
		{"u", "plain, run once", silencePlainPause, "unsafe", silenceTimeout, 1, false},
		{"s", "plain, may be repeated", silencePlainPause, "safe", silenceTimeout, 2, false},
	},
	replicas: silenceReplicas, backlog: silenceBacklog, pace: silencePace, plainTime: silencePlainTime, rounds: silenceRounds,
}

// class returns the class of a kind of requests.
func (l measuredLoad) class(kind string) silenceClass {
	for _, class := range l.classes {
		if class.kind == kind {
			return class
		}
	}
	return silenceClass{}
}

// configuration returns a version's configuration; each version has its own idle time.
func (l measuredLoad) configuration(version uint64) string {
	const route = `{"name":%q,"hostname":"a.example","path_prefix":"/%s/","route_kind":%q,"timeout_ms":%d,"target_latency_ms":500,"service":"s","max_attempts":%d,"resumable":%v}`
	var routes []string
	for _, class := range l.classes {
		routes = append(routes, fmt.Sprintf(route, class.name, class.kind, class.route, class.timeout.Milliseconds(), class.attempts, class.resumable))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s","health_path":"/health"}],"limits":{"max_body_bytes":1048576,"idle_timeout_ms":%d}}`, version, strings.Join(routes, ","), 15000+version)
}

// silenceMeasurement is a measurement of silent replicas. It is safe for concurrent use.
type silenceMeasurement struct {
	in       *installation
	kind     silenceKind
	load     measuredLoad
	random   *rand.Rand
	replicas *replicas
	next     atomic.Uint64
	version  atomic.Uint64
	log      *os.File
	// conns are the connections to each gateway that clients keep.
	conns map[*member]*keptConns

	mu      sync.Mutex
	runs    map[string][]*silentRun
	results []silenceResult
	// stopping is the gateway that was told to stop, nil once it is back; signalAt is when it was told.
	stopping *member
	signalAt time.Time
	// stops counts the stops, kills those that a SIGKILL ended.
	stops, kills int
}

// measureSilence stops gateways while replicas fall silent, and prints which answers ended early.
func measureSilence(o options) error {
	in, err := newInstallation(o, silenceStop)
	if err != nil {
		return err
	}
	defer in.shutDown()
	go in.shutDownOnSignal()
	m := newSilenceMeasurement(in, o)
	if m.log, err = os.Create(in.options.Folder + "/requests"); err != nil {
		return errors.Wrap(err, "log of requests")
	}
	defer m.log.Close()
	plan := replicaPlan{count: m.load.replicas, slots: silenceSlots, backlog: m.load.backlog, software: "v1", handler: m.answer}
	if m.replicas, err = newReplicas(in, newChecker(), newZoneDrains(), plan); err != nil {
		return err
	}
	defer m.replicas.close()
	if err := in.startAll(); err != nil {
		return err
	}
	if err := m.configure(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go m.replicas.sendHeartbeats(ctx)
	if err := m.waitUntilServing(); err != nil {
		return err
	}
	m.play(ctx)
	in.shutDown()
	if m.kind.bodies != nil {
		m.printBodies()
	} else {
		m.print()
	}
	return nil
}

func newSilenceMeasurement(in *installation, o options) *silenceMeasurement {
	m := &silenceMeasurement{in: in, kind: silenceKinds[o.Measure], load: silenceLoad, random: rand.New(rand.NewPCG(o.Seed, 18)), runs: map[string][]*silentRun{}, conns: map[*member]*keptConns{}}
	if m.kind.bodies != nil {
		m.load = m.kind.bodies.measured()
	}
	for _, gateway := range in.gatewayNodes() {
		m.conns[gateway] = &keptConns{address: in.processAddress(gateway, in.callPort())}
	}
	return m
}

// waitUntilServing waits until every gateway has answered a request.
func (m *silenceMeasurement) waitUntilServing() error {
	for _, gateway := range m.in.gatewayNodes() {
		served := false
		for turn := 0; turn < 100 && !served; turn++ {
			served = m.send(m.load.classes[len(m.load.classes)-1], gateway).whole
			time.Sleep(100 * time.Millisecond)
		}
		if !served {
			return errors.Errorf("%s never served a request", gateway.name)
		}
	}
	if m.kind.forward {
		gateway := m.withoutLinks()
		if err := os.WriteFile(gateway.settingsFile+".links", []byte("reset"), 0o644); err != nil {
			return errors.Wrap(err, "links of a gateway")
		}
	}
	return nil
}

// withoutLinks returns the gateway that has no links to replicas, nil if all have.
func (m *silenceMeasurement) withoutLinks() *member {
	gateways := m.in.gatewayNodes()
	if !m.kind.forward {
		return nil
	}
	return gateways[len(gateways)-1]
}

// play sends requests of all classes while gateways stop and replicas fall silent.
func (m *silenceMeasurement) play(ctx context.Context) {
	sending, endSending := context.WithCancel(ctx)
	var work sync.WaitGroup
	for i, class := range m.load.classes {
		if m.kind.alone && i > 0 {
			break
		}
		work.Go(func() { m.sendAll(sending, class, i) })
	}
	time.Sleep(silenceWarmUp)
	gateways := m.in.gatewayNodes()
	if m.kind.forward {
		gateways = gateways[:len(gateways)-1]
	}
	firstGateway, firstReplica := m.random.IntN(len(gateways)), m.random.IntN(m.load.replicas)
	for round := range m.load.rounds {
		time.Sleep(time.Duration(m.random.Int64N(int64(maxSilenceShift))))
		m.strike(gateways[(firstGateway+round)%len(gateways)], firstReplica+round)
	}
	endSending()
	work.Wait()
	time.Sleep(m.kind.duration)
}

// strike stops a gateway, changes the configuration and lets replicas fall silent.
func (m *silenceMeasurement) strike(gateway *member, firstReplica int) {
	next := time.Now().Add(silenceRound)
	var work sync.WaitGroup
	if m.kind.delay < 0 {
		work.Go(func() { m.fallSilent(firstReplica) })
		time.Sleep(-m.kind.delay)
	}
	work.Go(func() { m.stop(gateway) })
	work.Go(func() { _ = m.configure() })
	if m.kind.delay > 0 {
		time.Sleep(m.kind.delay)
		work.Go(func() { m.fallSilent(firstReplica) })
	}
	work.Wait()
	time.Sleep(time.Until(next))
}

// stop stops a gateway and starts it again.
func (m *silenceMeasurement) stop(gateway *member) {
	how := m.kind.stop
	how.limit = m.in.stop.limit
	killed := m.in.stopByPlatform(gateway, how, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.stopping, m.signalAt = gateway, time.Now()
		m.note("%s is told to stop", gateway.name)
	})
	m.note("%s has stopped, killed %v", gateway.name, killed)
	m.in.startAfter(gateway, silenceDowntime)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopping = nil
	m.stops++
	m.kills += asNumber(killed)
}

// fallSilent lets replicas fall silent for a while.
func (m *silenceMeasurement) fallSilent(first int) {
	var silent []*replica
	for i := range m.kind.replicas {
		silent = append(silent, m.replicas.list[(first+i)%len(m.replicas.list)])
	}
	for _, rep := range silent {
		rep.pause.begin(m.kind.accepting)
		m.note("%s falls silent", rep.id)
	}
	time.Sleep(m.kind.duration)
	for _, rep := range silent {
		rep.pause.end()
		m.note("%s goes on", rep.id)
	}
}

// configure sends the next configuration until it is acknowledged.
func (m *silenceMeasurement) configure() error {
	operators := newOperators(m.in, newChecker(), newZoneDrains())
	version := m.version.Add(1)
	body := m.load.configuration(version)
	for turn := range 100 {
		if status, _ := operators.call(http.MethodPut, turn%controlNodeCount, body); status == http.StatusOK {
			m.note("version %d is acknowledged", version)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the configuration was never acknowledged")
}

// note writes a line into the log of requests.
func (m *silenceMeasurement) note(format string, arguments ...any) {
	fmt.Fprintf(m.log, "%s soak: %s\n", time.Now().UTC().Format(time.RFC3339Nano), fmt.Sprintf(format, arguments...))
}
