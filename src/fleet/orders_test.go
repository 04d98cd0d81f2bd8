package fleet

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/exchange"
)

// TestAnOrderThatIsGivenUpIsNotDeliveredLater
//
// Orders are abandoned after 0.6 s, but the operating system retransmits what a closed connection
// has not delivered, at intervals that double from 0.2 s; the first five last 6.2 s. A leader was
// cut off for 5.5 s and lost its lease, and the next one began to send orders 3.4 s after that. An
// order of the first leader, with the lower fencing token, arrived half a second after the cut had
// ended, 2.2 s after one of the next leader. A connection that is reset delivers nothing more.
func TestAnOrderThatIsGivenUpIsNotDeliveredLater(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	ended := make(chan error, 1)
	arrived := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			ended <- err
			return
		}
		close(arrived)
		_, err = io.Copy(io.Discard, reader)
		ended <- err
	}()
	ctx, giveUp := context.WithTimeout(context.Background(), time.Minute)
	go func() {
		<-arrived
		giveUp()
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String(), strings.NewReader("an order"))
	is.NoErr(err)
	_, err = orderClient(func(string, *exchange.LimitError) {}).Do(request)
	is.True(err != nil)
	is.True(errors.Is(<-ended, syscall.ECONNRESET))
}
