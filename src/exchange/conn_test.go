package exchange

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"
)

// silentDials returns a dial function whose first calls time out, as if SYN packets were lost, and
// a counter of the calls.
func silentDials(silent int) (dialFunc, *int) {
	count := 0
	return func(ctx context.Context, _ string) (net.Conn, error) {
		count++
		if count <= silent {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		here, _ := net.Pipe()
		return here, nil
	}, &count
}

func TestLostSYNIsRepeatedToTheOnlyReplica(t *testing.T) {
	is := is.New(t)
	dial, count := silentDials(1)
	only := &Choice{}
	c, err := newPool("x", dial).get(context.Background(), only.connectTimeout(), noon)
	is.NoErr(err)
	is.True(c != nil)
	is.Equal(*count, 2)
}

func TestUnresponsiveReplicaIsGivenUpEarlyIfThereIsAnother(t *testing.T) {
	is := is.New(t)
	dial, count := silentDials(100)
	one := &Choice{Alternatives: 2}
	_, err := newPool("x", dial).get(context.Background(), one.connectTimeout(), noon)
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.Equal(*count, 1)
}

func TestARefusedDialIsNotRepeated(t *testing.T) {
	is := is.New(t)
	refused := errors.New("connection refused")
	count := 0
	dial := func(context.Context, string) (net.Conn, error) { count++; return nil, refused }
	only := &Choice{}
	_, err := newPool("x", dial).get(context.Background(), only.connectTimeout(), noon)
	is.True(errors.Is(err, refused))
	is.Equal(count, 1)
}
