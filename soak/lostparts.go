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

// What a measurement of the parts of the rule LOST does.
const (
	partsReplicas = 15
	partsSlots    = 64
	// partsDuration is how long clients send beside the planned work.
	partsDuration = 64 * time.Second
	// partsIdleTime is the longest rest of a connection, shortIdleTime where kept connections are measured.
	partsIdleTime = 15 * time.Second
	shortIdleTime = 2 * time.Second
	// partsUnframed is the share of answers in percent that have neither a length nor chunks.
	partsUnframed = 10
)

// partsClass is a class of requests, by the first letter of their path.
type partsClass struct {
	letter, name string
	route        string
	timeout      time.Duration
	attempts     int
	resumable    bool
	// target is the time within which an answer begins or ends, pause the pause between two requests.
	target, pause time.Duration
	// events is how many events a stream has, 0 if the answer is none; work is how long a server needs for an answer, at
	// the most, or for an event of it.
	events int
	work   time.Duration
}

func (c partsClass) isStream() bool { return c.events > 0 }

// partsClasses are the classes: three kinds of streams, of which one may be resumed, and plain answers.
var partsClasses = []partsClass{
	{letter: "f", name: "streams, 5 s, one run", route: "streaming", timeout: 5 * time.Second, attempts: 1, target: 800 * time.Millisecond, pause: time.Second / 28, events: 11, work: 60 * time.Millisecond},
	{letter: "r", name: "streams that may be resumed, 20 s, two runs", route: "streaming", timeout: 20 * time.Second, attempts: 2, resumable: true, target: 800 * time.Millisecond, pause: time.Second / 28, events: 11, work: 90 * time.Millisecond},
	{letter: "c", name: "long streams, 15 s, one run", route: "streaming", timeout: 15 * time.Second, attempts: 1, target: 800 * time.Millisecond, pause: time.Second / 10, events: 60, work: 30 * time.Millisecond},
	{letter: "u", name: "plain, 0.8 s, one run", route: "unsafe", timeout: 800 * time.Millisecond, attempts: 1, target: 100 * time.Millisecond, pause: time.Second / 16, work: 40 * time.Millisecond},
	{letter: "s", name: "plain, 0.8 s, may be repeated", route: "safe", timeout: 800 * time.Millisecond, attempts: 2, target: 100 * time.Millisecond, pause: time.Second / 12, work: 40 * time.Millisecond},
	{letter: "w", name: "plain with work, 8 s, one run", route: "unsafe", timeout: 8 * time.Second, attempts: 1, target: 4 * time.Second, pause: time.Second / 6, work: 2500 * time.Millisecond},
}

// partsClassOf returns the class of a path.
func partsClassOf(path string) (class partsClass, found bool) {
	for _, class := range partsClasses {
		if strings.HasPrefix(path, "/"+class.letter+"/") {
			return class, true
		}
	}
	return partsClass{}, false
}

// partsKind is which planned work a measurement does beside its load.
type partsKind struct {
	stops, hangups, changes, power bool
	// leaves is set if servers leave and others take their places.
	leaves bool
	// idle is the longest rest of a connection.
	idle time.Duration
	// allKept is set if all requests are sent on kept connections.
	allKept bool
	// forward makes one gateway have no links to servers, throttled lets each one run for a part of the time only, and framed
	// gives all answers a length or chunks.
	forward, throttled, framed bool
}

// partsKindOf returns the kind with a name: "lost-parts", followed by at most one kind of work, "-forward", "-throttled" and
// "-framed".
func partsKindOf(name string) (partsKind, bool) {
	rest, found := strings.CutPrefix(name, "lost-parts")
	rest, framed := strings.CutSuffix(rest, "-framed")
	rest, throttled := strings.CutSuffix(rest, "-throttled")
	rest, forward := strings.CutSuffix(rest, "-forward")
	kind := partsKind{idle: partsIdleTime, forward: forward, throttled: throttled, framed: framed}
	switch rest {
	case "":
		kind.stops, kind.hangups, kind.changes, kind.leaves = true, true, true, true
	case "-stops":
		kind.stops = true
	case "-sighup":
		kind.stops, kind.hangups = true, true
	case "-config":
		kind.changes = true
	case "-kept":
		kind.changes, kind.allKept, kind.idle = true, true, shortIdleTime
	case "-power":
		kind.power = true
	default:
		return partsKind{}, false
	}
	return kind, found
}

// configuration returns the content of a version. Versions differ in the idle time, in the time for plain answers with
// work and in a route that only one of them has.
func (k partsKind) configuration(version uint64) string {
	const route = `{"name":%q,"hostname":"a.example","path_prefix":"/%s/","route_kind":%q,"timeout_ms":%d,"target_latency_ms":%d,"service":"s","max_attempts":%d,"resumable":%v%s}`
	routes := []string{fmt.Sprintf(route, fmt.Sprint("v", version), fmt.Sprint("v", version), "safe", 800, 100, 1, false, "")}
	for _, class := range partsClasses {
		gap := ""
		if class.isStream() {
			gap = `,"target_gap_ms":400`
		}
		timeout := class.timeout.Milliseconds()
		if class.letter == "w" {
			timeout += int64(version%5) * 100
		}
		routes = append(routes, fmt.Sprintf(route, class.name, class.letter, class.route, timeout, class.target.Milliseconds(), class.attempts, class.resumable, gap))
	}
	engine := fmt.Sprintf(`,"engine":{"slots":%d,"kv_cache_tokens":132029,"kv_bytes":163840,"link_mbps":280000.0,"moves":true,"backups":true,"stride":2,"maximum":12,"host_mb":1000,"disk_mb":1000,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":%g,"models":[{"name":%q,"weights_mb":100.0,"load_s":1,"adapters":0,"adapter_mb":1,"warm_s":0.1,"disk_s":0.2}],"weights_mb":100.0,"adapter_slots":1,"loads_per_s":1}`, partsSlots, handleTime.Seconds(), endStopsModel)
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s","health_path":"/health"%s}],"limits":{"max_body_bytes":4194304,"idle_timeout_ms":%d}}`, version, strings.Join(routes, ","), engine, k.idleOf(version).Milliseconds())
}

// idleOf returns the longest rest of a connection by a version.
func (k partsKind) idleOf(version uint64) time.Duration {
	if k.idle == shortIdleTime {
		return k.idle + time.Duration(version%2)*time.Second
	}
	return k.idle + time.Duration(version%7)*time.Millisecond
}

// partsMeasurement is a measurement of the parts of the rule LOST. It is safe for concurrent use.
type partsMeasurement struct {
	in      *installation
	kind    partsKind
	next    atomic.Uint64
	version atomic.Uint64
	log     *os.File
	copies  *runCopies
	// replicas are the servers.
	replicas *replicas
	// conns are the connections to each gateway that clients keep.
	conns map[*member]*partsConns

	mu sync.Mutex
	// arrivals counts the arrivals of each request at servers, those that they refuse included.
	arrivals map[string]int
	runs     map[string][]*partsRun
	results  []*partsResult
	work     plannedWork
	kills    int
}

// measureLostParts plays planned work beside a load and prints how many requests broke each part of the rule LOST.
func measureLostParts(o options) error {
	kind, _ := partsKindOf(o.Measure)
	in, err := newInstallation(o, silenceStop)
	if err != nil {
		return err
	}
	defer in.shutDown()
	go in.shutDownOnSignal()
	if kind.power {
		return measureLostPower(in)
	}
	m := &partsMeasurement{in: in, kind: kind, arrivals: map[string]int{}, runs: map[string][]*partsRun{}, conns: map[*member]*partsConns{}, work: plannedWork{stops: map[*member][]gatewayStop{}, hangups: map[*member][]time.Time{}}}
	for _, gateway := range in.gatewayNodes() {
		m.conns[gateway] = &partsConns{address: in.processAddress(gateway, in.callPort())}
	}
	if m.log, err = os.Create(o.Folder + "/requests"); err != nil {
		return errors.Wrap(err, "log of requests")
	}
	defer m.log.Close()
	plan := replicaPlan{count: partsReplicas, slots: partsSlots, backlog: defaultBacklog, software: "v1", model: endStopsModel, handler: m.answer}
	r, err := newReplicas(in, newChecker(), newZoneDrains(), plan)
	if err != nil {
		return err
	}
	defer r.close()
	m.replicas, m.copies = r, newRunCopies(r.replicaAt)
	if err := in.startAll(); err != nil {
		return err
	}
	if err := m.configure(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.sendHeartbeats(ctx)
	if err := m.waitUntilServing(); err != nil {
		return err
	}
	m.play(ctx)
	in.shutDown()
	m.print()
	return nil
}

// waitUntilServing waits until every gateway has answered a request, and takes the links of one gateway if that is wanted.
func (m *partsMeasurement) waitUntilServing() error {
	class, _ := partsClassOf("/w/")
	for _, gateway := range m.in.gatewayNodes() {
		served := false
		for turn := 0; turn < 100 && !served; turn++ {
			result := m.send(class, gateway, rand.New(rand.NewPCG(m.in.options.Seed, uint64(turn))))
			served = result.complete
			time.Sleep(100 * time.Millisecond)
		}
		if !served {
			return errors.Errorf("%s never served a request", gateway.name)
		}
	}
	if gateway := m.withoutLinks(); gateway != nil {
		return errors.Wrap(os.WriteFile(gateway.settingsFile+".links", []byte("reset"), 0o644), "links of a gateway")
	}
	return nil
}

// withoutLinks returns the gateway that has no links to servers, nil if all have.
func (m *partsMeasurement) withoutLinks() *member {
	gateways := m.in.gatewayNodes()
	if !m.kind.forward {
		return nil
	}
	return gateways[len(gateways)-1]
}

// play sends requests of all classes beside the planned work.
func (m *partsMeasurement) play(ctx context.Context) {
	sending, endSending := context.WithTimeout(ctx, partsDuration)
	defer endSending()
	var work sync.WaitGroup
	for i, class := range partsClasses {
		work.Go(func() { m.sendAll(sending, class, i) })
	}
	if m.kind.stops {
		work.Go(func() { m.stopInTurn(sending, rand.New(rand.NewPCG(m.in.options.Seed, 31))) })
	}
	if m.kind.hangups {
		work.Go(func() { m.hangUp(sending, rand.New(rand.NewPCG(m.in.options.Seed, 32))) })
	}
	if m.kind.changes {
		work.Go(func() { m.change(sending) })
	}
	if m.kind.throttled {
		for _, gateway := range m.in.gatewayNodes() {
			work.Go(func() { gateway.throttle(sending) })
		}
	}
	if m.kind.leaves {
		work.Go(func() { m.replicas.leaveInTurn(sending, rand.New(rand.NewPCG(m.in.options.Seed, 34))) })
	}
	work.Wait()
}

// configure sends the next version until it is acknowledged.
func (m *partsMeasurement) configure() error {
	operators := newOperators(m.in, newChecker(), newZoneDrains())
	version, sentAt := m.version.Add(1), time.Now()
	for turn := range 100 {
		if status, _ := operators.call(http.MethodPut, turn%controlNodeCount, m.kind.configuration(version)); status == http.StatusOK {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.work.changes = append(m.work.changes, sentChange{sentAt, time.Now()})
			m.note("version %d is acknowledged", version)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the configuration was never acknowledged")
}

// note writes a line into the log of requests.
func (m *partsMeasurement) note(format string, arguments ...any) {
	fmt.Fprintf(m.log, "%s soak: %s\n", time.Now().UTC().Format(time.RFC3339Nano), fmt.Sprintf(format, arguments...))
}
