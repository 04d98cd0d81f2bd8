package rpc

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestTheReplyToACallThatWasGivenUpIsHandled: what the peer assigned with it would be nobody's.
func TestTheReplyToACallThatWasGivenUpIsHandled(t *testing.T) {
	for _, watched := range []bool{false, true} {
		is := is.New(t)
		answer := make(chan struct{})
		client, _ := newWatchedServer(t, answer)
		late := make(chan string, 2)
		call := func(ctx context.Context, result *string) error {
			ctx = WithLateReply(ctx, func(reply string) { late <- reply })
			if watched {
				return client.CallWatched(ctx, "wait", struct{}{}, result, testSilence)
			}
			return client.Call(ctx, "wait", struct{}{}, result)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		var got string
		is.True(call(ctx, &got) != nil)
		is.Equal(got, "")
		is.Equal(len(late), 0)
		close(answer)
		is.Equal(<-late, "done")
		is.NoErr(call(context.Background(), &got))
		is.Equal(got, "done")
		is.Equal(len(late), 0) // the reply to a call that still waits is not late
	}
}
