package fleet

import (
	"context"
	"time"

	"github.com/moorspool/moorspool/src/signals"
)

// The times of a gateway's stop.
const (
	// stopMargin is the part of the stop limit that is left for the end of the process.
	stopMargin = 500 * time.Millisecond
	// answerWait is the part of stopMargin that handlers have to answer and log what was cut off.
	answerWait = 200 * time.Millisecond
	// stopWaitShare is the part of the rest of the stop limit for which requests that have not been sent
	// may go on waiting. What is sent then has the other part to be completed.
	stopWaitShare = 1.0 / 3
	// signalDelay is how much earlier than stopTimes knows the signal to stop may have been sent.
	signalDelay = 250 * time.Millisecond
	// minStopShare is the part of the stop limit for which requests in progress go on after the process learned of its
	// signal: one that may have been sent just then must not cut them off.
	minStopShare = 5.0 / 6
)

// stopSteps are what a gateway does as it stops.
type stopSteps struct {
	// notReady fails the readiness check.
	notReady func()
	// requests is the handler of requests.
	requests interface {
		Stop()
		EndWaits()
		RefuseBeyond(from, end time.Time)
		CutOff()
	}
	// tellLeaving tells the control nodes that the gateway leaves.
	tellLeaving func(ctx context.Context)
	// clients and forwarded are the servers of clients and of other gateways.
	clients, forwarded interface {
		stop(ctx context.Context) error
	}
	// end waits for the handlers and closes both servers.
	end func()
}

// stopSteps returns what the gateway does as it stops.
func (g *gateway) stopSteps(clients, forwarded *server) stopSteps {
	return stopSteps{
		notReady: func() {
			g.stopping.Store(true)
			g.proc.SetLeaving()
		},
		requests:    g.handler,
		tellLeaving: g.notifyPeerState,
		clients:     clients,
		forwarded:   forwarded,
		end: func() {
			awaitServers(answerWait, clients, forwarded)
			closeServers(clients, forwarded)
		},
	}
}

// stopTimes are the times of a stop.
type stopTimes struct {
	// mark is from when on nothing is sent that may last beyond lastEnd.
	mark, lastEnd time.Time
	// endWaits is when the waits of requests that have not been sent end.
	endWaits time.Time
	// closeClients and closeForwarded are when the servers of clients and of other gateways close.
	closeClients, closeForwarded time.Time
	// end is when the requests in progress are cut off.
	end time.Time
}

// newStopTimes returns the times of a stop, which must be over before the stop limit. Clients may still send for the lag. Both
// count from the signal, so what they bound counts from the earliest time at which that may have been sent, and what they
// allow from when it was learned of.
func newStopTimes(signal signals.Stop, lag, stopLimit time.Duration) stopTimes {
	limit := stopLimit - stopMargin
	lag = min(lag, limit/2)
	end := signal.SentAfter.Add(limit)
	shortest := min(limit, time.Duration(float64(stopLimit)*minStopShare))
	if least := signal.Learned.Add(shortest); least.After(end) {
		end = least
	}
	return stopTimes{
		mark:           sendMark(signal.SentAfter, lag),
		lastEnd:        signal.SentAfter.Add(limit),
		endWaits:       signal.SentAfter.Add(time.Duration(float64(limit) * stopWaitShare)),
		closeClients:   signal.Learned.Add(lag),
		closeForwarded: signal.Learned.Add(peerListLag), // until others know that this gateway leaves, they get an answer that says so
		end:            end,
	}
}

// run stops a gateway. It fails the readiness check and waits for the load balancer, then closes the listener and completes
// the requests in progress, up to the end.
func (s stopSteps) run(times stopTimes) {
	ctx, cancel := context.WithDeadline(context.Background(), times.end)
	defer cancel()
	s.notReady()
	s.requests.Stop()
	s.requests.RefuseBeyond(times.mark, times.lastEnd)
	waits := time.AfterFunc(time.Until(times.endWaits), s.requests.EndWaits)
	defer waits.Stop()
	go s.tellLeaving(ctx) // a control node that stands still may hold it up
	sleepUntil(times.closeClients)
	_ = s.clients.stop(ctx)
	sleepUntil(earlier(times.closeForwarded, times.end))
	_ = s.forwarded.stop(ctx)
	s.requests.CutOff()
	s.end()
}

func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sendMark returns from when on a gateway that stops sends nothing that may outlast it: clients may still send for
// the lag, which their operator counts from the signal.
func sendMark(signal time.Time, lag time.Duration) time.Time {
	return signal.Add(max(lag-signalDelay, 0))
}
