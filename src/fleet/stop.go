package fleet

import (
	"context"
	"time"
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
	// signalDelay is how long before a busy process learns of it the signal to stop may have been sent.
	signalDelay = 250 * time.Millisecond
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

// run stops a gateway that was told to stop at a time. It fails the readiness check and waits for the load balancer,
// then closes the listener and completes the requests in progress, up to the limit.
func (s stopSteps) run(began time.Time, balancerLag, limit time.Duration) {
	lag := min(balancerLag, limit/2)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(limit))
	defer cancel()
	s.notReady()
	s.requests.Stop()
	s.requests.RefuseBeyond(sendMark(began, lag), began.Add(limit))
	waits := time.AfterFunc(time.Until(began.Add(time.Duration(float64(limit)*stopWaitShare))), s.requests.EndWaits)
	defer waits.Stop()
	go s.tellLeaving(ctx) // a control node that stands still may hold it up
	time.Sleep(time.Until(began.Add(lag)))
	_ = s.clients.stop(ctx)
	// Until others know that this gateway leaves, they get an answer that says so.
	time.Sleep(min(time.Until(began.Add(peerListLag)), time.Until(began.Add(limit))))
	_ = s.forwarded.stop(ctx)
	s.requests.CutOff()
	s.end()
}

// sendMark returns from when on a gateway that stops sends nothing that may outlast it: clients may still send for
// the lag, which their operator counts from the signal.
func sendMark(learned time.Time, lag time.Duration) time.Time {
	return learned.Add(max(lag-signalDelay, 0))
}
