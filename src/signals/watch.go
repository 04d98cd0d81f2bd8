package signals

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Stop is a signal to stop.
type Stop struct {
	// Learned is when the process learned of the signal, SentAfter the latest time at which it had certainly not been sent.
	Learned, SentAfter time.Time
}

// Delay returns the longest time for which the signal may have been under way.
func (s Stop) Delay() time.Duration { return s.Learned.Sub(s.SentAfter) }

// Watch delivers signals to a server and records when the process runs. It is safe for concurrent use.
type Watch struct {
	signals <-chan os.Signal
	stop    chan Stop
	reload  chan struct{}
	now     func() time.Time

	mu      sync.Mutex
	running running
}

// Notify returns a watch of the process's signals that servers handle.
func Notify() *Watch {
	delivered := make(chan os.Signal, 4)
	signal.Notify(delivered, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return New(context.Background(), delivered, time.Now)
}

// New returns a watch of signals that come from a channel, until the context ends.
func New(ctx context.Context, signals <-chan os.Signal, now func() time.Time) *Watch {
	w := &Watch{signals: signals, stop: make(chan Stop, 1), reload: make(chan struct{}), now: now}
	w.running.add(now())
	go w.run(ctx)
	return w
}

// Stop delivers the first signal to stop; later ones change nothing.
func (w *Watch) Stop() <-chan Stop { return w.stop }

// Reload delivers the signals to read the settings again.
func (w *Watch) Reload() <-chan struct{} { return w.reload }

// run delivers signals and records that the process runs.
func (w *Watch) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case got := <-w.signals:
			w.deliver(ctx, got)
		case <-ticker.C:
			w.tick(ctx)
		}
	}
}

// tick records that the process runs, unless a signal has come.
func (w *Watch) tick(ctx context.Context) {
	select {
	case got := <-w.signals:
		w.deliver(ctx, got)
	default:
		w.mu.Lock()
		w.running.add(w.now())
		w.mu.Unlock()
	}
}

// deliver delivers a signal.
func (w *Watch) deliver(ctx context.Context, got os.Signal) {
	if got == syscall.SIGHUP {
		select {
		case w.reload <- struct{}{}:
		case <-ctx.Done():
		}
		return
	}
	learned := w.now()
	w.mu.Lock()
	sentAfter := w.running.withoutSignalAt(learned)
	w.mu.Unlock()
	select {
	case w.stop <- Stop{Learned: learned, SentAfter: sentAfter}:
	default:
	}
}
