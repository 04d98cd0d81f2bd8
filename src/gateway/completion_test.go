package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/route"
	"github.com/moorspool/moorspool/src/wire"
)

// newTestExchange returns the exchange of a completion that is not streamed, without a client.
func (b *testGateway) newTestExchange(started time.Time) *exchange {
	r := &request{id: "r1", started: started, path: engine.PathCompletions, body: body("m", "p", 6), requestedModel: "m",
		requirements: route.Requirements{Model: "m"}}
	return newExchange(b.server, r, app.NewContext(0))
}

// demandFor returns what is to be reported of a model.
func (r *Routes) demandFor(model string) wire.ModelDemand {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.demand[model]; d != nil {
		return *d
	}
	return wire.ModelDemand{}
}

// A client that left before the end of its answer counted as finished, since the error of the last write was
// dropped: an operator saw no broken answers, and the retry budget grew.
func TestClientThatLeftBeforeTheEndIsNotFinished(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	b.addEngine("h1", "a")
	x := b.newTestExchange(time.Now())
	x.writeEnd = func() error { return errors.New("connection reset by peer") }
	refusal := x.run(context.Background())
	is.True(refusal != nil)
	is.Equal(refusal.status, statusClientClosedRequest)
	is.Equal(refusal.NotRun, DidRun)
	is.Equal(b.server.routes.demandFor("m").Requests, 0)
}

// The demand that planners place models by is the time on backend servers. It contained the time in the queue
// and of failed attempts, so that a model whose requests waited seemed to need more copies than it does.
func TestDemandCountsTheTimeOnTheBackendServer(t *testing.T) {
	is := is.New(t)
	b := newTestGateway(t)
	b.addEngine("h1", "a")
	x := b.newTestExchange(time.Now().Add(-time.Hour)) // it has waited for an hour
	is.True(x.run(context.Background()) == nil)
	demand := b.server.routes.demandFor("m")
	is.Equal(demand.Requests, 1)
	is.True(demand.Busy < time.Hour.Milliseconds())
}
