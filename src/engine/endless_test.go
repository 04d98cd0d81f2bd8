package engine

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/cuttest"
)

// TestAnswersWithoutEndToControlNodesAreCutOff: a control node kept all that an engine sent in answer to an order or a
// request for a report.
func TestAnswersWithoutEndToControlNodesAreCutOff(t *testing.T) {
	const maxAllocs, maxSent = 32 << 20, 16 << 20
	answers := append(cuttest.EndlessHeads(), cuttest.EndlessBodies("200 OK", "Content-Type: application/json\r\n", " ")...)
	for _, answer := range append(answers, cuttest.EndlessBodies("500 X", "Content-Type: application/json\r\n", " ")...) {
		t.Run(answer.Name, func(t *testing.T) {
			is := is.New(t)
			server := cuttest.NewEndlessServer(t, answer)
			client, err := NewControlClient(nil, func(int, int) {})
			is.NoErr(err)
			began := time.Now()
			allocs := cuttest.Allocated(func() {
				_, err := client.Report(context.Background(), server.Address, Report{})
				is.True(err != nil)
				_, err = client.Order(context.Background(), server.Address, Order{})
				is.True(err != nil)
			})
			if allocs > maxAllocs || server.Sent() > maxSent {
				t.Errorf("%d MB allocated, %d are allowed; %d MB sent, %d are allowed", allocs>>20, maxAllocs>>20, server.Sent()>>20, maxSent>>20)
			}
			is.True(time.Since(began) < 4*controlTimeout)
		})
	}
}
