package signals

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// settlePoll is the pause between two looks whether a process has run long enough after a pause.
const settlePoll = 10 * time.Millisecond

// confirmTurns is how often a tick lets all other goroutines have their turn before it is taken for the last one without a
// signal: a tick is handed over at once, a signal behind all goroutines that are ready.
const confirmTurns = 3

// Stop is a signal to stop.
type Stop struct {
	// Learned is when the process learned of the signal, SentAfter the latest time at which it had certainly not been sent.
	Learned, SentAfter time.Time
}

// Delay returns the longest time for which the signal may have been under way.
func (s Stop) Delay() time.Duration { return s.Learned.Sub(s.SentAfter) }

// Watch delivers signals to a server and records when the process runs. It is safe for concurrent use.
type Watch struct {
	terminate, reload <-chan os.Signal
	stop              chan Stop
	now               func() time.Time
	// ticks are to be confirmed, confirmed are those that were.
	ticks, confirmed chan time.Time
	// lastConfirmed is the last one of them.
	lastConfirmed time.Time

	mu      sync.Mutex
	running running
}

// Notify returns a watch of the process's signals that servers handle.
func Notify() *Watch {
	// Each kind has its own channel, since a signal that does not fit is dropped.
	terminate, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	return New(context.Background(), terminate, reload, time.Now)
}

// New returns a watch of signals to stop and to read the settings again, until the context ends.
func New(ctx context.Context, terminate, reload <-chan os.Signal, now func() time.Time) *Watch {
	w := &Watch{terminate: terminate, reload: reload, stop: make(chan Stop, 1), now: now, ticks: make(chan time.Time, 1), confirmed: make(chan time.Time)}
	w.lastConfirmed = now()
	w.running.add(w.lastConfirmed)
	go w.run(ctx)
	go w.confirm(ctx)
	return w
}

// Stop delivers the first signal to stop; later ones change nothing.
func (w *Watch) Stop() <-chan Stop { return w.stop }

// HandleReloads reads the settings again after each signal to do so, until the context ends.
func (w *Watch) HandleReloads(ctx context.Context, reload func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.reload:
			reload()
		}
	}
}

// AwaitSettled waits, if the process goes on after a pause, until it has had time to read the signals and messages that came
// meanwhile. now is the present time. It waits no longer than deliveryTime, unless the process stands still again.
func (w *Watch) AwaitSettled(ctx context.Context, now time.Time) {
	began := w.now()
	for waited := time.Duration(0); waited < deliveryTime && !w.settled(now.Add(waited)); waited = w.now().Sub(began) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(settlePoll):
		}
	}
}

func (w *Watch) settled(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running.settled(now)
}

// run delivers signals to stop and records that the process runs.
func (w *Watch) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.terminate:
			w.deliver()
		case tick := <-w.confirmed:
			w.noteConfirmed(tick)
		case <-ticker.C:
			w.tick()
		}
	}
}

// tick records that the process runs, unless a signal to stop has come.
func (w *Watch) tick() {
	select {
	case <-w.terminate:
		w.deliver()
	default:
		now := w.now()
		w.mu.Lock()
		w.running.add(now)
		w.mu.Unlock()
		select {
		case w.ticks <- now:
		default: // an earlier one is being confirmed
		}
	}
}

// confirm confirms ticks: a signal that the process had got before them is delivered by then.
func (w *Watch) confirm(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case tick := <-w.ticks:
			for range confirmTurns {
				runtime.Gosched()
			}
			select {
			case w.confirmed <- tick:
			case <-ctx.Done():
				return
			}
		}
	}
}

// noteConfirmed records that no signal to stop was sent before a tick.
func (w *Watch) noteConfirmed(tick time.Time) {
	select {
	case <-w.terminate:
		w.deliver()
	default:
		w.lastConfirmed = tick
	}
}

// deliver delivers a signal to stop.
func (w *Watch) deliver() {
	learned := w.now()
	w.mu.Lock()
	sentAfter := w.running.withoutSignalAt(learned)
	w.mu.Unlock()
	if w.lastConfirmed.Before(sentAfter) {
		sentAfter = w.lastConfirmed
	}
	select {
	case w.stop <- Stop{Learned: learned, SentAfter: sentAfter}:
	default:
	}
}
