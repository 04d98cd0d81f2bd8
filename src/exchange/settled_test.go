package exchange

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
)

// afterAPause makes the first request be handled as the process goes on after a pause; read is what it reads then.
func (b *bench) afterAPause(read func()) {
	first := true
	b.handler.options.AwaitSettled = func(context.Context, time.Time) {
		if first {
			first = false
			read()
		}
	}
}

// TestARequestAfterAPauseIsNotDecidedByTheConfigurationBefore: a route that was added during the pause got 404.
func TestARequestAfterAPauseIsNotDecidedByTheConfigurationBefore(t *testing.T) {
	is := is.New(t)
	old := route(catalog.Unsafe, 1)
	old.Prefix = "/other/"
	b := newBench(t, old, newReplica(t, "x", whole))
	b.afterAPause(func() {
		b.handler.SetTable(catalog.NewTable(catalog.Document{Version: 2, Routes: []catalog.Route{route(catalog.Unsafe, 1)}, Services: testServices()}))
	})
	is.Equal(b.do("POST", "one", "body").status, http.StatusOK)
}

// TestARequestAfterAPauseIsNotSentToAReplicaThatLeftMeanwhile: the news that it drains waited as the request did.
func TestARequestAfterAPauseIsNotSentToAReplicaThatLeftMeanwhile(t *testing.T) {
	is := is.New(t)
	left, stays := newReplica(t, "left", whole), newReplica(t, "stays", whole)
	b := newBench(t, route(catalog.Unsafe, 1), left)
	b.afterAPause(func() {
		left.draining = true
		b.register(left, stays)
	})
	is.Equal(b.do("POST", "one", "body").status, http.StatusOK)
	is.Equal(left.count(), 0)
}
