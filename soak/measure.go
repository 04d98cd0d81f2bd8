package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// The numbers of a measurement.
const (
	measureReplicas = 8
	measureSpan     = 25 * time.Second
	// measureRate is how many requests of others are sent a second; every other one is alike.
	measureRate = 350
	// measureWorkers send them.
	measureWorkers = 40
	// commonBody is what half of them have.
	commonBody = "what many callers send"
	// lossEvery is the pause between two losses of half of the replicas.
	lossEvery = 5 * time.Second
	// restartAway is how long a replica is away that is restarted under its ID.
	restartAway = 500 * time.Millisecond
)

// measurement counts what becomes of the others' requests in each half of the span.
type measurement struct {
	sent, served [2]atomic.Int64
	// freeSent and freeServed count them from freeAfter the end of a limit on.
	freeSent, freeServed atomic.Int64
	span                 time.Duration
	// condemned counts those that were refused as a content that ends replicas is.
	condemned atomic.Int64
}

// trouble kinds that can be measured.
var measures = map[string]func(ctx context.Context, r *replicas, c *clients){
	"none":        func(context.Context, *replicas, *clients) {},
	"deadly":      pressDeadlyAlone,
	"losses":      func(ctx context.Context, r *replicas, _ *clients) { r.loseHalves(ctx) },
	"rest":        restShare(0.5),
	"limit":       limitShareOf(0.5, 5, nil),
	"limit-all":   limitShareOf(1, 1, nil),
	"limit-kills": limitShareOf(1, 20, killControlNodes),
	"slow-disk":   changeOnSlowDisks,
	"rest-all":    restShare(1),
	"leaving":     leaveHalf,
	"restarts":    func(ctx context.Context, r *replicas, _ *clients) { r.restartAll(ctx) },
	"foreign": func(ctx context.Context, r *replicas, _ *clients) {
		r.pressForeign(ctx, rand.New(rand.NewPCG(1, 9)))
	},
}

// measure runs one kind of trouble without any other and prints what others' requests met.
func measure(o options) error {
	trouble, span, first := measures[o.Measure], measureSpan, ""
	if o.Measure == "upgrade" || o.Measure == "back" {
		old, err := buildOf(o.Old)
		if err != nil {
			return err
		}
		first, span = old, upgradeSpan
		trouble = upgrade(o.Bin)
		if o.Measure == "back" {
			first, trouble = o.Bin, upgrade(old)
		}
	}
	if o.Measure == "slow-disk" {
		span = slowDiskSpan
	}
	if trouble == nil {
		return errors.Errorf("there is nothing to measure that is called %q", o.Measure)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	in, err := newInstallation(o)
	if err != nil {
		return err
	}
	defer in.end()
	go in.endOnSignal()
	check := newChecker()
	r, err := newReplicas(in, check, newZoneOrders(), measureReplicas)
	if err != nil {
		return err
	}
	defer r.close()
	in.setBuild(first)
	if err := in.startAll(); err != nil {
		return err
	}
	for _, m := range in.members {
		m.calm()
	}
	operators := newOperators(in, check, newZoneOrders())
	if err := operators.found(); err != nil {
		return err
	}
	go r.beat(ctx)
	c := newClients(in, check)
	if err := c.warm(); err != nil {
		return err
	}
	time.Sleep(2 * beatEvery)
	m := measurement{span: span}
	m.run(ctx, c, func(ctx context.Context) { trouble(ctx, r, c) })
	r.ends.mu.Lock()
	defer r.ends.mu.Unlock()
	fmt.Printf("of %d requests from %s on %d were served\n", m.freeSent.Load(), measuredFrom+measuredFor+freeAfter, m.freeServed.Load())
	fmt.Printf("%s: %d replicas ended under the deadly content, %d later than %s after the third; of others' requests served %.4f, in the second half %.4f, refused as deadly %d\n",
		o.Measure, r.ends.count, r.ends.late, contactTime, m.share(0, 1), m.share(1), m.condemned.Load())
	return nil
}

// run sends the others' requests beside the trouble.
func (m *measurement) run(ctx context.Context, c *clients, trouble func(ctx context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, m.span)
	defer cancel()
	began := time.Now()
	var work sync.WaitGroup
	work.Add(1)
	go func() {
		defer work.Done()
		trouble(ctx)
	}()
	for worker := range measureWorkers {
		work.Add(1)
		go func() {
			defer work.Done()
			m.press(ctx, c, worker, began)
		}()
	}
	work.Wait()
}

// press sends every measureWorkers-th of the others' requests.
func (m *measurement) press(ctx context.Context, c *clients, worker int, began time.Time) {
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
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
		if time.Since(began) > m.span/2 {
			half = 1
		}
		gateway := gateways[turn%len(gateways)]
		if _, since := gateway.state(); since.IsZero() {
			continue
		}
		id := c.id()
		kind, body := "s", commonBody
		if turn%2 == 0 {
			kind, body = "u", "body of "+id
		}
		m.sent[half].Add(1)
		status, got, err := c.doBody(client, gateway, kind, id, body, mainDraw)
		free := time.Since(began) > measuredFrom+measuredFor+freeAfter
		if free {
			m.freeSent.Add(1)
		}
		if err == nil && status == http.StatusOK && got.whole {
			m.served[half].Add(1)
			if free {
				m.freeServed.Add(1)
			}
		}
		if status == http.StatusTooManyRequests {
			m.condemned.Add(1)
		}
	}
}

// share is the share of requests served in some halves.
func (m *measurement) share(halves ...int) float64 {
	sent, served := 0.0, 0.0
	for _, half := range halves {
		sent += float64(m.sent[half].Load())
		served += float64(m.served[half].Load())
	}
	return served / max(sent, 1)
}

func pressDeadlyAlone(ctx context.Context, _ *replicas, c *clients) {
	c.work.Add(1)
	c.pressDeadly(ctx, rand.New(rand.NewPCG(1, 8)))
}

// loseHalves ends half of the replicas together, again and again.
func (r *replicas) loseHalves(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(lossEvery):
		}
		r.mu.Lock()
		lost := append([]*replica(nil), r.list[:len(r.list)/2]...)
		r.mu.Unlock()
		for _, one := range lost {
			r.crash(one)
		}
	}
}

// restartAll restarts each replica once under its ID, one a second.
func (r *replicas) restartAll(ctx context.Context) {
	r.mu.Lock()
	all := append([]*replica(nil), r.list...)
	r.mu.Unlock()
	for _, one := range all {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
		if !r.remove(one) {
			continue
		}
		_ = one.server.Close()
		time.Sleep(restartAway)
		r.startAgain(one.host, one.id)
	}
	<-ctx.Done()
}
