package rpc

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/moorspool/moorspool/src/cuttest"
)

// frame returns a message as it is sent.
func frame(message string) string {
	return string(binary.AppendUvarint(nil, uint64(len(message)))) + message
}

// newCutPeer returns a function that calls a peer on a new connection, whose answer is cut off.
func newCutPeer(t *testing.T) func(ctx context.Context, answer cuttest.Cut) (result string, err error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var answer atomic.Pointer[cuttest.Cut]
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				var request jsonrpc2.Request
				if (jsonrpc2.VarintObjectCodec{}).ReadObject(bufio.NewReader(conn), &request) == nil {
					answer.Load().Send(conn)
				}
			}()
		}
	}()
	return func(ctx context.Context, cut cuttest.Cut) (result string, err error) {
		answer.Store(&cut)
		raw, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			return "", err
		}
		conn := connect(&meteredConn{Conn: raw, meter: &Meter{}}, NewMux())
		defer conn.Close()
		err = conn.Call(ctx, "method", struct{}{}, &result)
		return result, err
	}
}

func TestACutAnswerOfAPeerIsNoAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	call := newCutPeer(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	own := frame(`{"jsonrpc":"2.0","id":0,"result":"the answer"}`)
	other := frame(`{"jsonrpc":"2.0","id":1,"result":"another answer"}`)
	result, err := call(ctx, cuttest.Cut{Text: own, Ending: cuttest.Hold})
	is.NoErr(err)
	is.Equal(result, "the answer")
	for i := range own {
		for _, cut := range []cuttest.Cut{
			{Text: own[:i], Ending: cuttest.Close},
			{Text: own[:i], Ending: cuttest.Reset},
			{Text: own[:i] + other, Ending: cuttest.Close},
		} {
			if result, err := call(ctx, cut); err == nil {
				t.Errorf("%s was taken for %q", cut, result)
			}
		}
	}
	for _, i := range []int{0, 1, len(own) / 2, len(own) - 1} {
		t.Run(fmt.Sprint("open connection, byte ", i), func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			defer cancel()
			_, err := call(ctx, cuttest.Cut{Text: own[:i], Ending: cuttest.Hold})
			is.True(err != nil)
		})
	}
}
