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

// What a measurement of ends of streams around planned stops does.
const (
	endStopsReplicas = 8
	endStopsSlots    = 64
	endStopsEvents   = 12
	// endStopsWarmUp is how long clients send before the first stop, endStopsRound the time from one stop to the next.
	// It is longer than plannedWorkTime, so that every second stream at least is at a gateway that goes on.
	endStopsWarmUp = 2 * time.Second
	endStopsRound  = 10 * time.Second
	// endStopsPause is the pause between two streams of a class.
	endStopsPause = time.Second / 23
	// endStopsTimeout is the time for an answer, endStopsClientTimeout how long a client waits for it.
	endStopsTimeout       = 5 * time.Second
	endStopsClientTimeout = 6 * time.Second
	// minEventPause and maxEventPause bound the pause between two events of a stream.
	minEventPause = 50 * time.Millisecond
	maxEventPause = 100 * time.Millisecond
	// plannedWorkTime is how long after a SIGTERM an end counts at the gateway that got it, whichever process took the
	// request: 1 s longer than the limit of the stop.
	plannedWorkTime = 9 * time.Second
	// shownPercent is the share of framed answers in percent that are closed short where any are.
	shownPercent = 2
	// endStopsModel is the model of all requests, maxOutputTokens the most tokens that most of them want: a stream has one
	// token for each event and fewer events than that.
	endStopsModel   = "m"
	maxOutputTokens = 40
)

// endStopsClasses are the kinds of streams, by the first letter of their path.
var endStopsClasses = []string{"e", "n"}

// endStopsKind is what the replicas of a measurement do.
type endStopsKind struct {
	// unframed is the share of answers in percent that have neither a length nor chunks, broken that of those which
	// their replica breaks off in order between two events.
	unframed, broken int
	// engine is set if replicas can copy runs.
	engine bool
	// framedRests is set if answers that go on after an event always have a length or chunks.
	framedRests bool
	// alone is set if one replica alone holds the model.
	alone bool
	// allTokens is set if requests ask for as many tokens as their streams have.
	allTokens bool
	// refusal is which rests replicas refuse.
	refusal restRefusal
	// leaves is set if replicas leave shortly before a run ends that they have a copy of.
	leaves bool
	// single is set if streams have one event.
	single bool
	// death is how a replica dies every deathPause, http10 is set if all answers to the close are in HTTP/1.0, reset is how
	// those of them that were written whole are reset.
	death  deathOrder
	http10 bool
	reset  endReset
	// kills is set if all gateways are killed again and again in place of the stops.
	kills bool
	// silent is set if replicas fall silent, one at a time.
	silent bool
	// shows is the share of framed answers in percent that their replica closes in order between two events.
	shows int
}

// events returns how many events a stream has.
func (k endStopsKind) events() int {
	if k.single {
		return 1
	}
	return endStopsEvents
}

// endStopsPart is a part of the name of a measurement and what it changes.
type endStopsPart struct {
	name  string
	apply func(kind *endStopsKind)
}

// endStopsParts are the parts that may follow "ends-stops" in a name, in the order of their groups and at most one of each.
var endStopsParts = [][]endStopsPart{
	{
		{"-mixed", func(k *endStopsKind) { k.unframed = 30 }},
		{"-tenth", func(k *endStopsKind) { k.unframed = 10 }},
		{"-few", func(k *endStopsKind) { k.unframed = 2 }},
	},
	{
		{"-breaks-10", func(k *endStopsKind) { k.broken = 10 }},
		{"-breaks-1", func(k *endStopsKind) { k.broken = 1 }},
		{"-breaks-30", func(k *endStopsKind) { k.broken = 30 }},
	},
	{{"-plain", func(k *endStopsKind) { k.engine = false }}},
	{{"-alone", func(k *endStopsKind) { k.alone = true }}},
	{{"-rests", func(k *endStopsKind) { k.framedRests = true }}},
	{{"-tokens", func(k *endStopsKind) { k.allTokens = true }}},
	{
		{"-refused-some", func(k *endStopsKind) { k.refusal = refusesSome }},
		{"-refused", func(k *endStopsKind) { k.refusal = refusesAll }},
		{"-dropped", func(k *endStopsKind) { k.refusal = refusesEnded }},
		{"-pauses", func(k *endStopsKind) { k.refusal = refusesFirst }},
	},
	{{"-leaves", func(k *endStopsKind) { k.leaves = true }}},
	{{"-single", func(k *endStopsKind) { k.single = true }}},
	{
		{"-dies-late", func(k *endStopsKind) { k.death = connsFirst }},
		{"-dies-back", func(k *endStopsKind) { k.death = comesBack }},
		{"-dies", func(k *endStopsKind) { k.death = portFirst }},
	},
	{{"-http10", func(k *endStopsKind) { k.http10 = true }}},
	{
		{"-resets-late", func(k *endStopsKind) { k.reset = resetAfterEnd }},
		{"-resets", func(k *endStopsKind) { k.reset = resetOnly }},
	},
	{{"-kills", func(k *endStopsKind) { k.kills = true }}},
	{{"-silent", func(k *endStopsKind) { k.silent = true }}},
	{{"-shows", func(k *endStopsKind) { k.shows = shownPercent }}},
}

// endStopsKindOf returns the kind with a name: "ends-stops", followed by parts of endStopsParts.
func endStopsKindOf(name string) (endStopsKind, bool) {
	rest, found := strings.CutPrefix(name, "ends-stops")
	kind := endStopsKind{unframed: 100, engine: true}
	for _, group := range endStopsParts {
		for _, part := range group {
			if after, has := strings.CutPrefix(rest, part.name); has {
				part.apply(&kind)
				rest = after
				break
			}
		}
	}
	return kind, found && rest == ""
}

// configuration returns the configuration of the installation.
func (k endStopsKind) configuration() string {
	const route = `{"name":"route-%s","hostname":"a.example","path_prefix":"/%s/","route_kind":"streaming","timeout_ms":%d,"target_latency_ms":500,"service":"s","max_attempts":%d,"resumable":%v,"target_gap_ms":400}`
	var routes []string
	for _, class := range endStopsClasses {
		resumable := class == resumableKind
		routes = append(routes, fmt.Sprintf(route, class, class, endStopsTimeout.Milliseconds(), 1+asNumber(resumable), resumable))
	}
	engine := ""
	if k.engine {
		engine = fmt.Sprintf(`,"engine":{"slots":%d,"kv_cache_tokens":100000,"kv_bytes":163840,"link_mbps":280000.0,"moves":true,"backups":true,"stride":1,"maximum":12,"host_mb":1000,"disk_mb":1000,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":%g,"models":[{"name":%q,"weights_mb":100.0,"load_s":1,"adapters":0,"adapter_mb":1,"warm_s":0.1,"disk_s":0.2}],"weights_mb":100.0,"adapter_slots":1,"loads_per_s":1}`, endStopsSlots, handleTime.Seconds(), endStopsModel)
	}
	return fmt.Sprintf(`{"version":1,"routes":[%s],"services":[{"name":"s","health_path":"/health"%s}],"limits":{"max_body_bytes":1048576,"idle_timeout_ms":15000}}`, strings.Join(routes, ","), engine)
}

// endStopsMeasurement counts how streams end whose answers have neither a length nor chunks, while gateways are stopped. It
// is safe for concurrent use.
type endStopsMeasurement struct {
	in     *installation
	kind   endStopsKind
	random *rand.Rand
	copies *runCopies
	// holders lets replicas leave, nil if none shall.
	holders *leavingHolders
	strikes *endStopsStrikes
	next    atomic.Uint64
	log     *os.File

	mu      sync.Mutex
	runs    map[string][]*streamRun
	results []*endStopsResult
	// stops are the stops of each gateway, in order.
	stops map[*member][]gatewayStop
	kills int
	// killed are the times in which each gateway was killed.
	killed map[*member][]gatewayStop
	// shown is how many framed answers were closed short, firstShownAt when the first one was.
	shown        int
	firstShownAt time.Time
}

// gatewayStop is a stop of a gateway: when it was told, and when it was started again, the zero time before.
type gatewayStop struct {
	signalAt, startedAt time.Time
}

// measureEndStops stops gateways one after the other while streams end with their connections, and prints how they ended.
func measureEndStops(o options) error {
	in, err := newInstallation(o, silenceStop)
	if err != nil {
		return err
	}
	defer in.shutDown()
	go in.shutDownOnSignal()
	kind, _ := endStopsKindOf(o.Measure)
	m := &endStopsMeasurement{in: in, kind: kind, random: rand.New(rand.NewPCG(o.Seed, 24)), runs: map[string][]*streamRun{}, stops: map[*member][]gatewayStop{}, killed: map[*member][]gatewayStop{}}
	if m.log, err = os.Create(in.options.Folder + "/requests"); err != nil {
		return errors.Wrap(err, "log of requests")
	}
	defer m.log.Close()
	plan := replicaPlan{count: endStopsReplicas, slots: endStopsSlots, backlog: defaultBacklog, software: "v1", handler: m.answer}
	if kind.engine {
		plan.model = endStopsModel
	}
	if kind.alone {
		plan.modelHosts = 1
	}
	r, err := newReplicas(in, newChecker(), newZoneDrains(), plan)
	if err != nil {
		return err
	}
	defer r.close()
	m.copies = newRunCopies(r.replicaAt)
	m.copies.refuses = r.lacksModel
	m.strikes = &endStopsStrikes{replicas: r, kind: kind, random: rand.New(rand.NewPCG(o.Seed, 26)), note: m.note}
	m.copies.refusal, m.copies.seed = kind.refusal, o.Seed
	if kind.leaves {
		m.holders = newLeavingHolders(r, m.copies)
	}
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
	if m.holders != nil {
		fmt.Printf("servers that left with a copy %d\n", m.holders.close())
	}
	in.shutDown()
	m.print()
	return nil
}

// configure sends the configuration until it is acknowledged.
func (m *endStopsMeasurement) configure() error {
	operators := newOperators(m.in, newChecker(), newZoneDrains())
	for turn := range 100 {
		if status, _ := operators.call(http.MethodPut, turn%controlNodeCount, m.kind.configuration()); status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the configuration was never acknowledged")
}

// waitUntilServing waits until every gateway has passed events of a stream on.
func (m *endStopsMeasurement) waitUntilServing() error {
	for _, gateway := range m.in.gatewayNodes() {
		served := false
		for turn := 0; turn < 100 && !served; turn++ {
			result := m.send(resumableKind, gateway)
			served = strings.Contains(result.got.body, "\n\n")
			time.Sleep(100 * time.Millisecond)
		}
		if !served {
			return errors.Errorf("%s never served a request", gateway.name)
		}
	}
	return nil
}

// play sends streams while each gateway is stopped and started again.
func (m *endStopsMeasurement) play(ctx context.Context) {
	sending, endSending := context.WithCancel(ctx)
	var work sync.WaitGroup
	for i, class := range endStopsClasses {
		work.Go(func() { m.sendAll(sending, class, i) })
	}
	m.strikes.run(sending, &work)
	time.Sleep(endStopsWarmUp)
	if m.kind.kills {
		for end := time.Now().Add(time.Duration(len(m.in.gatewayNodes())) * endStopsRound); time.Now().Before(end); time.Sleep(endsKillPause) {
			m.killAll()
		}
	} else {
		m.stopInTurn()
	}
	endSending()
	work.Wait()
}

// stopInTurn stops each gateway once.
func (m *endStopsMeasurement) stopInTurn() {
	gateways := m.in.gatewayNodes()
	first := m.random.IntN(len(gateways))
	for round := range gateways {
		time.Sleep(time.Duration(m.random.Int64N(int64(maxSilenceShift))))
		next := time.Now().Add(endStopsRound)
		m.stop(gateways[(first+round)%len(gateways)])
		time.Sleep(time.Until(next))
	}
}

// stop stops a gateway as the platform does and starts it again.
func (m *endStopsMeasurement) stop(gateway *member) {
	killed := m.in.stopByPlatform(gateway, platformStop{limit: m.in.stop.limit}, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.stops[gateway] = append(m.stops[gateway], gatewayStop{signalAt: time.Now()})
		m.note("%s is told to stop", gateway.name)
	})
	m.note("%s has stopped, killed %v", gateway.name, killed)
	time.Sleep(silenceDowntime)
	m.mu.Lock()
	stops := m.stops[gateway]
	stops[len(stops)-1].startedAt = time.Now()
	m.kills += asNumber(killed)
	m.mu.Unlock()
	m.in.startAfter(gateway, 0)
}

// note writes a line into the log of requests.
func (m *endStopsMeasurement) note(format string, arguments ...any) {
	fmt.Fprintf(m.log, "%s soak: %s\n", time.Now().UTC().Format(time.RFC3339Nano), fmt.Sprintf(format, arguments...))
}
