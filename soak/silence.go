package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// minSilencePause and maxSilencePause bound the pause between two silences, minSilence and maxSilence how
	// long one lasts.
	minSilencePause = 500 * time.Millisecond
	maxSilencePause = 2500 * time.Millisecond
	minSilence      = 300 * time.Millisecond
	maxSilence      = 3 * time.Second
	// maxSilenceLead is how long before the silence a gateway gets a signal, at the most; it may also get it
	// up to maxSilenceLag later.
	maxSilenceLead = time.Second
	maxSilenceLag  = 500 * time.Millisecond
	// minBacklog is the shortest queue of new connections, which is doubled up to maxBacklogDoublings times.
	minBacklog          = 8
	maxBacklogDoublings = 6
	// crowdDialTimeout is how long a connection is tried that fills a queue.
	crowdDialTimeout = 100 * time.Millisecond
)

// silence is a strike that pauses replicas.
type silence struct {
	// share is the share of the replicas.
	share    float64
	duration time.Duration
	// accepting is set if only the accepting of connections is paused, crowded if the queues of new
	// connections are full meanwhile.
	accepting, crowded bool
	// signal is the fault of a gateway beside the silence, "" for none, which begins lead before it.
	signal  string
	gateway int
	lead    time.Duration
}

// drawBacklog returns the length of the replicas' queues of new connections.
func drawBacklog(o options, random *rand.Rand) int {
	if o.NoSilence {
		return defaultBacklog
	}
	return minBacklog << random.IntN(maxBacklogDoublings+1)
}

func drawSilence(random *rand.Rand) silence {
	return silence{
		share:     []float64{0, 0.5, 1}[random.IntN(3)],
		duration:  minSilence + time.Duration(random.Int64N(int64(maxSilence-minSilence))),
		accepting: random.IntN(4) == 0,
		crowded:   random.IntN(2) == 0,
		signal:    []string{"", "stop", "reload"}[random.IntN(3)],
		gateway:   random.IntN(1 << 16),
		lead:      time.Duration(random.Int64N(int64(maxSilenceLead+maxSilenceLag))) - maxSilenceLag,
	}
}

// startSilences begins to pause replicas from time to time; the returned group ends after ctx.
func (r *replicas) startSilences(ctx context.Context, random *rand.Rand) *sync.WaitGroup {
	var work sync.WaitGroup
	if r.in.options.NoSilence {
		return &work
	}
	work.Go(func() {
		for ctx.Err() == nil {
			sleep(ctx, minSilencePause+time.Duration(random.Int64N(int64(maxSilencePause-minSilencePause))))
			if ctx.Err() == nil {
				r.fallSilent(ctx, drawSilence(random), random, &work)
			}
		}
	})
	return &work
}

// fallSilent pauses replicas for a while, with a signal to a gateway shortly before or after the beginning.
func (r *replicas) fallSilent(ctx context.Context, s silence, random *rand.Rand, work *sync.WaitGroup) {
	signalRandom := rand.New(rand.NewPCG(random.Uint64(), 5))
	work.Go(func() {
		sleep(ctx, -s.lead)
		if s.signal != "" && ctx.Err() == nil {
			r.in.strikeGateway(s.gateway, s.signal, signalRandom)
		}
	})
	sleep(ctx, s.lead)
	silent := r.draw(s.share, random)
	for _, rep := range silent {
		rep.pause.begin(s.accepting)
		r.note("%s falls silent for %s, accepting alone %v, queue full %v", rep.id, s.duration, s.accepting, s.crowded)
	}
	r.check.count("silences")
	over, end := context.WithTimeout(ctx, s.duration)
	defer end()
	if s.crowded {
		for _, rep := range silent {
			work.Go(func() { r.crowd(over, rep) })
		}
	}
	<-over.Done()
	for _, rep := range silent {
		rep.pause.end()
		r.note("%s goes on", rep.id)
	}
}

// draw returns random replicas, at least one if there are any.
func (r *replicas) draw(share float64, random *rand.Rand) []*replica {
	all := r.firstShare(1)
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(max(int(share*float64(len(all))), 1), len(all))]
}

// crowd fills a replica's queue of new connections, as many gateways do.
func (r *replicas) crowd(ctx context.Context, rep *replica) {
	dialer := net.Dialer{Timeout: crowdDialTimeout}
	for range r.plan.backlog + 1 {
		conn, err := dialer.DialContext(ctx, "tcp", rep.address)
		if err != nil {
			break
		}
		defer conn.Close()
	}
	<-ctx.Done()
}

// serves reports whether the member's process serves.
func (m *member) serves() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.servesSince.IsZero()
}

// note writes a line into the log of the replicas.
func (r *replicas) note(format string, arguments ...any) {
	fmt.Fprintf(r.in.replicaLog, "soak: %s %s\n", time.Now().Format(time.RFC3339Nano), fmt.Sprintf(format, arguments...))
}

// strikeGateway lets a gateway have a fault unless it has one or does not serve yet.
func (in *installation) strikeGateway(index int, name string, random *rand.Rand) {
	gateways := in.gatewayNodes()
	in.strikeMember(gateways[index%len(gateways)], name, random)
}

// strikeMember lets a member have a fault unless that is not allowed or it does not serve yet.
func (in *installation) strikeMember(m *member, name string, random *rand.Rand) {
	for _, chosen := range faults {
		if chosen.name == name && m.serves() && in.tryBeginFault(m) {
			in.apply(chosen, m, time.Second, random)
		}
	}
}
