package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// minUnframedPause and maxUnframedPause bound the pause between two spells in which replicas frame no answer,
	// minUnframedSpell and maxUnframedSpell how long one lasts.
	minUnframedPause = time.Second
	maxUnframedPause = 4 * time.Second
	minUnframedSpell = time.Second
	maxUnframedSpell = 5 * time.Second
)

// unframedSpell is a time in which replicas give no answer a length or chunks.
type unframedSpell struct {
	// share is the share of the replicas.
	share    float64
	duration time.Duration
	// broken is the share of streams in percent that they break off.
	broken int
	// stopAfter is when a gateway is stopped, after the beginning, and gateway which one; none is if stops is not set.
	stops     bool
	stopAfter time.Duration
	gateway   int
}

func drawUnframedSpell(random *rand.Rand) unframedSpell {
	duration := drawBetween(random, minUnframedSpell, maxUnframedSpell)
	return unframedSpell{
		share:     []float64{0, 0.5, 1}[random.IntN(3)],
		duration:  duration,
		broken:    []int{0, 1, 10, 30}[random.IntN(4)],
		stops:     random.IntN(3) > 0,
		stopAfter: time.Duration(random.Int64N(int64(duration))),
		gateway:   random.IntN(1 << 16),
	}
}

// framing is how a replica frames its answers. It is safe for concurrent use.
type framing struct {
	mu sync.Mutex
	// never is how many spells are under way, broken the share of streams in percent that are broken off in the last.
	never, broken int
}

func (f *framing) beginSpell(broken int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.never++
	f.broken = broken
}

func (f *framing) endSpell() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.never--
}

// isNever reports whether no answer is framed, and which share of streams is then broken off, in percent.
func (f *framing) isNever() (never bool, broken int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.never > 0, f.broken
}

// write returns the writer of an answer. broken is called before one is broken off.
func (f *framing) write(w http.ResponseWriter, broken func()) http.ResponseWriter {
	if never, _ := f.isNever(); never {
		w.Header().Set("Transfer-Encoding", "identity")
		return w
	}
	return drawFraming(w, broken)
}

// startUnframedSpells begins to let replicas frame no answer from time to time; the returned group ends after ctx.
func (r *replicas) startUnframedSpells(ctx context.Context, random *rand.Rand) *sync.WaitGroup {
	var work sync.WaitGroup
	if r.in.options.NoUnframed {
		return &work
	}
	work.Go(func() {
		for {
			sleep(ctx, drawBetween(random, minUnframedPause, maxUnframedPause))
			if ctx.Err() != nil {
				return
			}
			r.frameNothing(ctx, drawUnframedSpell(random), rand.New(rand.NewPCG(random.Uint64(), 5)), &work)
		}
	})
	return &work
}

// frameNothing lets replicas frame no answer for a while, and a gateway stop meanwhile.
func (r *replicas) frameNothing(ctx context.Context, s unframedSpell, random *rand.Rand, work *sync.WaitGroup) {
	work.Go(func() {
		sleep(ctx, s.stopAfter)
		if s.stops && ctx.Err() == nil {
			r.in.strikeGateway(s.gateway, "stop", random)
		}
	})
	chosen := r.firstShare(s.share)
	for _, rep := range chosen {
		rep.framing.beginSpell(s.broken)
		r.note("%s frames no answer for %s, breaks off %d in 100 streams", rep.id, s.duration, s.broken)
	}
	r.check.count("spells without framing")
	sleep(ctx, s.duration)
	for _, rep := range chosen {
		rep.framing.endSpell()
	}
}
