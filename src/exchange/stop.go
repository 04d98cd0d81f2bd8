package exchange

import "context"

// Stop makes the handler close each connection after its current response.
func (h *Handler) Stop() { h.stopping.Store(true) }

// CutOff tells the handler that the connections of all requests in progress are about to be closed.
func (h *Handler) CutOff() { h.cutOff.Store(true) }

// EndWaits ends the waits of requests that have not been sent yet: for a place, a slot, a permit, a model or a
// replica that accepts them. They are refused, and so are later ones that would have to wait, while there is
// still time for their clients to turn to another gateway.
func (h *Handler) EndWaits() { h.endWaits() }

// waitContext returns a context for the waits of a request, which ends with that of the request or by
// EndWaits.
func (h *Handler) waitContext(ctx context.Context) (context.Context, context.CancelFunc) {
	waiting, cancel := context.WithCancel(ctx)
	stopWatch := context.AfterFunc(h.waits, cancel)
	return waiting, func() {
		stopWatch()
		cancel()
	}
}
