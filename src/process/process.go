package process

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/fault"
	"github.com/moorspool/moorspool/src/metric"
	"github.com/moorspool/moorspool/src/option"
	"github.com/moorspool/moorspool/src/rpc"
	"github.com/moorspool/moorspool/src/wire"
)

// gcPercent keeps the heap small: a process has 32 MB for control and spends little of its time on
// allocation.
const gcPercent = 40

// closeTimeout limits the end of a process: the end of both listeners, and the writing of the last log lines.
const closeTimeout = 150 * time.Millisecond

// maxEventWait bounds how long a request waits for events.
const maxEventWait = 20 * time.Second

// Process is the common part of a running server; it is safe for concurrent use.
type Process struct {
	role     string
	settings option.Common
	ring     *event.Ring
	meter    *rpc.Meter
	metrics  *metric.Registry
	mux      *rpc.Mux
	cut      *fault.Cut
	server   *rpc.Server
	admin    *admin
	started  time.Time
	ready    atomic.Bool
	leaving  atomic.Bool
	status   func(*wire.Status)
	writer   *event.Writer
	// refresh updates the role's own gauges.
	refresh func(*metric.Registry)
}

// New returns the common part of a server; status fills in the role's own part of a status reply.
func New(role string, settings option.Common, status func(*wire.Status)) (*Process, error) {
	writer := event.NewWriter(os.Stdout)
	logger := event.NewLogger(writer, settings.Node)
	level, err := log.ParseLevel(settings.Log.Level)
	if err != nil {
		return nil, errors.Wrap(err, "setting the log level")
	}
	logger.SetLevel(level)
	debug.SetGCPercent(gcPercent)
	p := &Process{
		role:     role,
		settings: settings,
		ring:     event.NewRing(settings.Node, settings.Events, logger, time.Now),
		meter:    &rpc.Meter{},
		metrics:  metric.New(role),
		mux:      rpc.NewMux(),
		started:  time.Now(),
		status:   status,
		writer:   writer,
	}
	p.ring.SetWriter(writer)
	if settings.Faults {
		p.cut = &fault.Cut{}
		p.mux.Handle(wire.MethodCut, rpc.Typed(p.setCut))
	}
	p.mux.Handle(wire.MethodStatus, rpc.Typed(p.answerStatus))
	p.mux.Handle(wire.MethodEvents, rpc.Typed(p.answerEvents))
	return p, nil
}

// Ring returns the process's event ring.
func (p *Process) Ring() *event.Ring { return p.ring }

// Meter returns the traffic counters of the control protocol.
func (p *Process) Meter() *rpc.Meter { return p.meter }

// Metrics returns the process's metrics.
func (p *Process) Metrics() *metric.Registry { return p.metrics }

// SetRefresh sets the function that updates the role's own gauges before metrics are read; it must
// be called before Serve.
func (p *Process) SetRefresh(refresh func(*metric.Registry)) { p.refresh = refresh }

// Mux returns the methods of the control protocol.
func (p *Process) Mux() *rpc.Mux { return p.mux }

// Cut returns the simulated network cut that tests control, nil in production.
func (p *Process) Cut() *fault.Cut { return p.cut }

// SetReady sets whether the process accepts work.
func (p *Process) SetReady(ready bool) {
	if p.ready.Swap(ready) != ready && ready {
		p.ring.Add(event.Event{Kind: event.ProcessReady})
	}
}

// SetLeaving marks the process as stopping; it accepts no new work.
func (p *Process) SetLeaving() {
	p.leaving.Store(true)
	p.ready.Store(false)
	p.ring.Add(event.Event{Kind: event.ProcessDraining})
}

// NoteStopSignal records that the process learned of its signal to stop, which had been under way for at most the delay.
// From now on lines of the log are written at once, since the process may be killed at any time.
func (p *Process) NoteStopSignal(delay time.Duration) {
	p.writer.WriteAtOnce()
	p.metrics.Gauge("stop_signal_delay_seconds", delay.Seconds())
	p.ring.Add(event.Event{Kind: event.StopSignalLearned, Reason: fmt.Sprintf("sent at most %d ms before", delay.Milliseconds())})
}

// Leaving reports whether the process is stopping.
func (p *Process) Leaving() bool { return p.leaving.Load() }

// Serve starts the control protocol and the administration API.
func (p *Process) Serve() error {
	server, err := rpc.Listen(p.settings.Control, p.mux, p.meter)
	if err != nil {
		return errors.Wrap(err, "listening for control")
	}
	p.server = server
	p.admin, err = serveAdmin(p.settings.Admin, p)
	if err != nil {
		return errors.Wrap(err, "listening for administration")
	}
	p.ring.Add(event.Event{Kind: event.ProcessStarted, Reason: p.role + " " + option.Version})
	return nil
}

// Close stops both listeners and writes the last log lines.
func (p *Process) Close() {
	began := time.Now()
	p.ring.Add(event.Event{Kind: event.ProcessStopped})
	p.server.Close()
	p.admin.close()
	p.writer.Close(closeTimeout - time.Since(began))
}

// CloseLog writes the last log lines of a process that failed before Serve.
func (p *Process) CloseLog() { p.writer.Close(closeTimeout) }

// SignalContext returns a context that is canceled by SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Heartbeat returns the process's heartbeat for the control nodes.
func (p *Process) Heartbeat(revision config.Revision) wire.Heartbeat {
	return wire.Heartbeat{
		Node:     p.settings.Node,
		Role:     p.role,
		Zone:     p.settings.Zone,
		Address:  p.settings.Control,
		Revision: revision,
		Leaving:  p.leaving.Load(),
		Control:  p.cost(),
	}
}

// setCut changes the simulated network cut.
func (p *Process) setCut(_ context.Context, _ *rpc.Peer, request wire.CutRequest) (wire.Empty, error) {
	p.cut.Set(request.Prefixes)
	p.ring.Add(event.Event{Kind: event.FaultSwitched, Reason: "cut"})
	return wire.Empty{}, nil
}

func (p *Process) answerStatus(context.Context, *rpc.Peer, wire.Empty) (wire.Status, error) {
	status := wire.Status{
		Node:    p.settings.Node,
		Role:    p.role,
		Zone:    p.settings.Zone,
		Version: option.Version,
		Now:     time.Now(),
		Ready:   p.ready.Load(),
		Leaving: p.leaving.Load(),
		Control: p.cost(),
	}
	p.status(&status)
	return status, nil
}

// answerEvents returns the requested events; if there are none, it waits for one.
func (p *Process) answerEvents(ctx context.Context, _ *rpc.Peer, request wire.EventsRequest) (wire.EventsReply, error) {
	after := request.After
	if request.Newest {
		after = p.ring.Last()
	}
	wait := min(request.Wait.Std(), maxEventWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, more := p.ring.Since(after, request.About)
		if len(events) > 0 || wait <= 0 {
			return wire.EventsReply{Last: p.ring.Last(), Events: events}, nil
		}
		select {
		case <-more:
		case <-timer.C:
			return wire.EventsReply{Last: p.ring.Last()}, nil
		case <-ctx.Done():
			return wire.EventsReply{Last: p.ring.Last()}, nil
		}
	}
}

// cost returns the resources that the process has used.
func (p *Process) cost() wire.ControlCost {
	usage := readUsage()
	return wire.ControlCost{
		BytesIn:   p.meter.BytesIn(),
		BytesOut:  p.meter.BytesOut(),
		Messages:  p.meter.Messages(),
		CPU:       config.Duration(usage.cpu),
		Resident:  usage.resident,
		Anonymous: usage.anonymous,
		Uptime:    config.Duration(time.Since(p.started).Round(time.Millisecond)),
	}
}
