package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Load and timing of a measurement.
const (
	measureReplicas = 8
	measureDuration = 25 * time.Second
	// measureRate is how many unrelated requests are sent a second; every second one has the same
	// body.
	measureRate = 350
	// measureWorkers is the number of goroutines that send them.
	measureWorkers = 40
	// sharedBody is the body of half of them.
	sharedBody = "what many callers send"
	// lossPause is the pause between two crashes of half of the replicas.
	lossPause = 5 * time.Second
	// restartDowntime is the downtime of a replica that is restarted under its ID.
	restartDowntime = 500 * time.Millisecond
)

// measurement counts the results of the unrelated requests, for each half of the duration.
type measurement struct {
	sent, served [2]atomic.Int64
	// afterLimitSent and afterLimitServed count the requests from limitRecoveryTime after the end of
	// a limit on.
	afterLimitSent, afterLimitServed atomic.Int64
	duration                         time.Duration
	// oneGateway makes all requests go to one gateway, each on a new connection, in the third quarter.
	oneGateway bool
	// surgeSent and surgeServed count these, from contactTime after the beginning on.
	surgeSent, surgeServed atomic.Int64
	// refusedAsDeadly counts the requests that were refused as content that crashes replicas.
	refusedAsDeadly atomic.Int64
}

// measuredFaults are the kinds of fault that can be measured, by the value of the flag.
var measuredFaults = map[string]func(ctx context.Context, r *replicas, c *clients){
	"none":           func(context.Context, *replicas, *clients) {},
	"deadly":         measureDeadly,
	"losses":         func(ctx context.Context, r *replicas, _ *clients) { r.crashHalves(ctx) },
	"part":           measureParts(deadlyParts{number: 1, position: 1, burst: 1, pause: partRequestPause}, false),
	"part-losses":    measureParts(deadlyParts{number: 1, position: 1, burst: 1, pause: partRequestPause}, true),
	"parts-first":    measureParts(deadlyParts{number: 2, position: 0, burst: 1, pause: 3 * partRequestPause / 2}, false),
	"part-burst":     measureParts(deadlyParts{number: 1, position: 1, burst: 6, pause: 3 * partRequestPause}, false),
	"some-losses":    measureParts(deadlyParts{}, true),
	"one-gateway":    func(context.Context, *replicas, *clients) {},
	"rest":           measureBackoff(0.5),
	"limit":          measureLimits(0.5, 5, nil),
	"limit-all":      measureLimits(1, 1, nil),
	"limit-kills":    measureLimits(1, 20, restartControlNodes),
	"slow-disk":      changeOnSlowDisks,
	"ends":           measureEnds(endsBrokenPercent, false),
	"ends-kills":     measureEnds(0, true),
	"rejoined":       measureRejoined(rejoinedLoss{}),
	"rejoined-all":   measureRejoined(rejoinedLoss{controls: true}),
	"rejoined-crash": measureRejoined(rejoinedLoss{controls: true, crash: true}),
	"stale-gateway":  measureStale,
	"rest-all":       measureBackoff(1),
	"leaving":        measureLeaving,
	"restarts":       func(ctx context.Context, r *replicas, _ *clients) { r.restartAll(ctx) },
	"foreign": func(ctx context.Context, r *replicas, _ *clients) {
		r.sendMalformedCalls(ctx, rand.New(rand.NewPCG(1, 9)))
	},
}

// measurementOf returns what runs a kind of measurement.
func measurementOf(kind string) func(o options) error {
	if _, found := silenceKinds[kind]; found {
		return measureSilence
	}
	if _, found := begunKinds[kind]; found {
		return measureBegun
	}
	if _, found := endStopsKindOf(kind); found {
		return measureEndStops
	}
	if _, found := partsKindOf(kind); found {
		return measureLostParts
	}
	return measure
}

// measure runs a single kind of fault and prints how many unrelated requests were served meanwhile.
func measure(o options) error {
	fault, duration, first := measuredFaults[o.Measure], measureDuration, ""
	if o.Measure == "upgrade" || o.Measure == "back" {
		old, err := buildCommit(o.Old)
		if err != nil {
			return err
		}
		first, duration = old, upgradeDuration
		fault = upgrade(o.Bin)
		if o.Measure == "back" {
			first, fault = o.Bin, upgrade(old)
		}
	}
	if strings.HasPrefix(o.Measure, "rejoined") {
		duration = rejoinedDuration
	}
	plan := replicaPlan{count: measureReplicas, slots: replicaSlots, backlog: defaultBacklog, closesShort: true}
	if o.Measure == "stale-gateway" {
		duration, plan.software, plan.breakOff = staleDuration, "v1", staleBrokenPercent
	}
	if o.Measure == "slow-disk" {
		duration = slowDiskDuration
	}
	if fault == nil {
		return errors.Errorf("there is nothing to measure that is called %q", o.Measure)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	in, err := newInstallation(o, defaultStop)
	if err != nil {
		return err
	}
	defer in.shutDown()
	go in.shutDownOnSignal()
	check := newChecker()
	r, err := newReplicas(in, check, newZoneDrains(), plan)
	if err != nil {
		return err
	}
	defer r.close()
	in.setBuild(first)
	if err := in.startAll(); err != nil {
		return err
	}
	for _, m := range in.members {
		m.endFault()
	}
	operators := newOperators(in, check, newZoneDrains())
	if err := operators.createConfiguration(); err != nil {
		return err
	}
	go r.sendHeartbeats(ctx)
	c := newClients(in, check, r)
	if err := c.waitUntilServing(); err != nil {
		return err
	}
	time.Sleep(2 * heartbeatInterval)
	m := measurement{duration: duration, oneGateway: o.Measure == "one-gateway"}
	m.run(ctx, c, func(ctx context.Context) { fault(ctx, r, c) })
	r.crashes.mu.Lock()
	defer r.crashes.mu.Unlock()
	fmt.Printf("of %d requests to the one gateway %d were served\n", m.surgeSent.Load(), m.surgeServed.Load())
	fmt.Printf("of %d requests from %s on %d were served\n", m.afterLimitSent.Load(), measuredLimitStart+measuredLimitDuration+limitRecoveryTime, m.afterLimitServed.Load())
	partCrashes, latePartCrashes := r.partCrashes.totals()
	fmt.Printf("%d replicas ended under deadly parts, %d later than %s after the fifth\n", partCrashes, latePartCrashes, contactTime)
	fmt.Printf("%s: %d replicas ended under the deadly content, %d later than %s after the third; of others' requests served %.4f, in the second half %.4f, refused as deadly %d\n",
		o.Measure, r.crashes.count, r.crashes.late, contactTime, m.share(0, 1), m.share(1), m.refusedAsDeadly.Load())
	return nil
}

// run sends the unrelated requests while the fault is active.
func (m *measurement) run(ctx context.Context, c *clients, fault func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, m.duration)
	defer cancel()
	began := time.Now()
	var work sync.WaitGroup
	work.Add(1)
	go func() {
		defer work.Done()
		fault(ctx)
	}()
	for worker := range measureWorkers {
		work.Add(1)
		go func() {
			defer work.Done()
			m.sendRequests(ctx, c, worker, began)
		}()
	}
	work.Wait()
}

// sendRequests sends one worker's part of the unrelated requests.
func (m *measurement) sendRequests(ctx context.Context, c *clients, worker int, began time.Time) {
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	ticker := time.NewTicker(time.Second * measureWorkers / measureRate)
	defer ticker.Stop()
	gateways := c.in.gatewayNodes()
	for turn := worker; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		half := 0
		if time.Since(began) > m.duration/2 {
			half = 1
		}
		gateway := gateways[turn%len(gateways)]
		surge, counted := m.surge(time.Since(began))
		sender := client
		if surge {
			gateway, sender = gateways[0], &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		}
		if _, since := gateway.state(); since.IsZero() {
			continue
		}
		id := c.id()
		kind, body := "s", sharedBody
		if turn%2 == 0 {
			kind, body = "u", "body of "+id
		}
		m.sent[half].Add(1)
		status, got, err := c.sendBody(sender, gateway, kind, id, body, mainAccountDraw)
		served := err == nil && status == http.StatusOK && got.whole
		if counted {
			m.surgeSent.Add(1)
			m.surgeServed.Add(int64(asNumber(served)))
		}
		afterLimit := time.Since(began) > measuredLimitStart+measuredLimitDuration+limitRecoveryTime
		if afterLimit {
			m.afterLimitSent.Add(1)
		}
		if served {
			m.served[half].Add(1)
			if afterLimit {
				m.afterLimitServed.Add(1)
			}
		}
		if status == http.StatusTooManyRequests {
			m.refusedAsDeadly.Add(1)
		}
	}
}

// surge reports whether all requests go to one gateway at a time after the beginning, and whether they are
// counted.
func (m *measurement) surge(elapsed time.Duration) (active, counted bool) {
	start := m.duration / 2
	active = m.oneGateway && elapsed >= start && elapsed < start+m.duration/4+contactTime
	return active, active && elapsed >= start+contactTime
}

// share returns the share of requests served in the given halves.
func (m *measurement) share(halves ...int) float64 {
	sent, served := 0.0, 0.0
	for _, half := range halves {
		sent += float64(m.sent[half].Load())
		served += float64(m.served[half].Load())
	}
	return served / max(sent, 1)
}

func measureDeadly(ctx context.Context, _ *replicas, c *clients) {
	c.work.Add(1)
	c.sendCrashing(ctx, rand.New(rand.NewPCG(1, 8)))
}

// crashHalves repeatedly crashes half of the replicas at once.
func (r *replicas) crashHalves(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(lossPause):
		}
		r.mu.Lock()
		lost := append([]*replica(nil), r.list[:len(r.list)/2]...)
		r.mu.Unlock()
		for _, rep := range lost {
			r.crash(rep)
		}
	}
}

// restartAll restarts each replica once under its ID, one a second.
func (r *replicas) restartAll(ctx context.Context) {
	r.mu.Lock()
	all := append([]*replica(nil), r.list...)
	r.mu.Unlock()
	for _, rep := range all {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
		if !r.remove(rep) {
			continue
		}
		rep.close()
		time.Sleep(restartDowntime)
		r.startAgain(rep.host, rep.id)
	}
	<-ctx.Done()
}
