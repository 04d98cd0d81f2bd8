package fleet

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/exchange"
	"github.com/moorspool/moorspool/src/placer"
	"github.com/moorspool/moorspool/src/registry"
	"github.com/moorspool/moorspool/src/wire"
)

// TestAnOrderIsNotSentAfterTheLeaseEndedOnItsWay guards against two holders that take turns within a lease: a node that
// stood still, or dialed for long, after it had looked at its lease still sent its order.
func TestAnOrderIsNotSentAfterTheLeaseEndedOnItsWay(t *testing.T) {
	for _, kept := range []bool{false, true} {
		is := is.New(t)
		var orders atomic.Int64
		replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				orders.Add(1)
				w.WriteHeader(http.StatusAccepted)
			}
		}))
		client := orderClient(func(string, *exchange.LimitError) {})
		if kept {
			response, err := client.Get(replica.URL)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
		}
		var lost atomic.Bool
		outcome := make(chan error, 1)
		calls := placer.Calls{
			Report: func(context.Context, string, string) (placer.Report, error) { return placer.Report{}, nil },
			Order: func(ctx context.Context, _ placer.Order) (placer.Result, placer.Availability) {
				if lost.Swap(true) {
					return placer.NoAnswer, placer.Availability{}
				}
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, replica.URL, strings.NewReader("an order"))
				if err == nil {
					var response *http.Response
					if response, err = client.Do(request); err == nil {
						err = response.Body.Close()
					}
				}
				outcome <- err
				return placer.NoAnswer, placer.Availability{}
			},
		}
		ctx, cancel := context.WithCancel(context.Background())
		go leadingPlacer(calls, &lost).Run(ctx)
		err := <-outcome
		cancel()
		replica.Close()
		is.Equal(orders.Load(), int64(0))
		is.True(errors.Is(err, errLeaseEnded))
	}
}

// leadingPlacer returns a placer with a replica that lacks a model. It leads until lost is set.
func leadingPlacer(calls placer.Calls, lost *atomic.Bool) *placer.Placer {
	engine := &catalog.Engine{WeightsMB: 100, LoadsPerSecond: 2, Models: []catalog.Model{{Name: "m", WeightsMB: 50}}}
	table := catalog.NewTable(catalog.Document{Version: 1, Services: []catalog.Service{{Name: "s", Engine: engine}}})
	p := placer.New(placer.Options{
		Holder:  "h",
		Calls:   calls,
		Leading: func() placer.Leading { return placer.Leading{Self: !lost.Load(), Token: 1} },
		Table:   func() *catalog.Table { return table },
		Publish: func(*wire.Holdings) {},
		Now:     time.Now,
	})
	p.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: registry.Record{ID: "r", Service: "s", Address: "a:1", Sequence: 1, Slots: 8}}}})
	return p
}
