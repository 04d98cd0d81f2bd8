package discovery

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/cuttest"
)

// TestAListWithoutEndIsCutOff: all of it was kept.
func TestAListWithoutEndIsCutOff(t *testing.T) {
	const maxAllocs, maxSent = 5 * maxListBytes, 2 * maxListBytes
	for _, answer := range append(cuttest.EndlessHeads(), cuttest.EndlessBodies("200 OK", "", " ")...) {
		t.Run(answer.Name, func(t *testing.T) {
			is := is.New(t)
			server := cuttest.NewEndlessServer(t, answer)
			reader, err := NewReader(server.Address, nil)
			is.NoErr(err)
			allocs := cuttest.Allocated(func() {
				_, _, err := reader.Read(context.Background())
				is.True(err != nil)
			})
			if allocs > maxAllocs || server.Sent() > maxSent {
				t.Errorf("%d MB allocated, %d are allowed; %d MB sent, %d are allowed", allocs>>20, maxAllocs>>20, server.Sent()>>20, maxSent>>20)
			}
		})
	}
}
