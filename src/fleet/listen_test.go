package fleet

import (
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/graceful"
)

// Otherwise nobody could tell when a request reached its host.
var _ syscall.Conn = (*graceful.Conn)(nil)

func TestServersOfClientsKnowTheirConnections(t *testing.T) {
	is := is.New(t)
	server, err := listen("127.0.0.1:0", http.NotFoundHandler())
	is.NoErr(err)
	defer server.close()
	is.True(server.http.ConnContext != nil) // a response to the close can't be guarded

	g := &gateway{}
	g.settings.Listen = "127.0.0.1"
	forwarded, err := g.listenForwarded()
	is.NoErr(err)
	is.True(forwarded.http.ConnContext != nil)
	forwarded.close()
}
