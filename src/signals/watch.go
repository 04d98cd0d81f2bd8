package signals

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// settlePoll is the pause between two looks whether a process has run long enough after a pause.
const settlePoll = 10 * time.Millisecond

// echoSignal is sent by a process to itself, to learn for how long signals are under way within it. Both the kernel and
// the runtime deliver signals that wait in the order of their numbers, so a signal to stop that was sent before comes first. Nothing
// but the resizing of a terminal sends it otherwise.
const echoSignal = syscall.SIGWINCH

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
	// echo sends a signal to this process, which echoes delivers; nil if there are none.
	echo   func() error
	echoes <-chan os.Signal

	mu      sync.Mutex
	running running
	// echoSent is when the echo under way was sent, zero if there is none, echoed when the last one was that came.
	echoSent, echoed time.Time
}

// Notify returns a watch of the process's signals that servers handle.
func Notify() *Watch {
	// Each kind has its own channel, since a signal that does not fit is dropped.
	terminate, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	echoes := make(chan os.Signal, 1)
	signal.Notify(echoes, echoSignal)
	w := newWatch(terminate, reload, time.Now)
	w.echoes, w.echo = echoes, func() error { return syscall.Kill(os.Getpid(), echoSignal) }
	go w.run(context.Background())
	return w
}

// New returns a watch of signals to stop and to read the settings again, until the context ends.
func New(ctx context.Context, terminate, reload <-chan os.Signal, now func() time.Time) *Watch {
	w := newWatch(terminate, reload, now)
	go w.run(ctx)
	return w
}

func newWatch(terminate, reload <-chan os.Signal, now func() time.Time) *Watch {
	w := &Watch{terminate: terminate, reload: reload, stop: make(chan Stop, 1), now: now}
	w.echoed = now()
	w.running.add(w.echoed)
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
		case <-w.echoes:
			w.noteEcho()
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
		w.sendEcho(now)
	}
}

// sendEcho sends an echo unless one is under way.
func (w *Watch) sendEcho(now time.Time) {
	if w.echo == nil || !w.echoSent.IsZero() {
		return
	}
	if w.echo() != nil {
		w.echoed = now // nothing better is known than the ticks
		return
	}
	w.echoSent = now
}

// noteEcho records that no signal to stop was sent before the echo.
func (w *Watch) noteEcho() {
	select {
	case <-w.terminate:
		w.deliver()
		return
	default:
	}
	if !w.echoSent.IsZero() {
		w.echoed, w.echoSent = w.echoSent, time.Time{}
	}
}

// deliver delivers a signal to stop.
func (w *Watch) deliver() {
	learned := w.now()
	w.mu.Lock()
	sentAfter := w.running.withoutSignalAt(learned)
	w.mu.Unlock()
	if w.echo != nil && w.echoed.Before(sentAfter) {
		sentAfter = w.echoed
	}
	select {
	case w.stop <- Stop{Learned: learned, SentAfter: sentAfter}:
	default:
	}
}
