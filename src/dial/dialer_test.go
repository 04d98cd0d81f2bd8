package dial

import (
	"crypto/tls"
	"net"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"
)

// fakeDialer returns connections from one local address.
type fakeDialer struct{ network.Dialer }

func (fakeDialer) DialConnection(_, address string, _ time.Duration, _ *tls.Config) (network.Conn, error) {
	remote, err := net.ResolveTCPAddr("tcp", address)
	return &fakeConn{remote: remote}, err
}

// fakeConn is a connection whose local address others have too.
type fakeConn struct {
	network.Conn
	remote net.Addr
	closed bool
}

func (c *fakeConn) LocalAddr() net.Addr {
	return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 40000}
}
func (c *fakeConn) RemoteAddr() net.Addr { return c.remote }
func (c *fakeConn) Close() error         { c.closed = true; return nil }

// Connections to two backend servers may have the same local address. Aborting the response of one closed the
// connection of the other, so that another client's answer was broken off.
func TestAbortClosesTheConnectionOfItsResponse(t *testing.T) {
	is := is.New(t)
	d := &dialer{Dialer: fakeDialer{}, conns: map[endpoints]*trackedConn{}}
	var conns []*fakeConn
	var responses []*protocol.Response
	for _, address := range []string{"127.0.0.2:1", "127.0.0.3:1"} {
		conn, err := d.DialConnection("tcp", address, time.Second, nil)
		is.NoErr(err)
		conns = append(conns, conn.(*trackedConn).Conn.(*fakeConn))
		response := &protocol.Response{}
		response.ParseNetAddr(conn)
		responses = append(responses, response)
	}
	client := &Client{dialer: d}
	client.Abort(responses[0])
	is.True(conns[0].closed)
	is.True(!conns[1].closed)
	client.Abort(responses[1])
	is.True(conns[1].closed)
	is.Equal(len(d.conns), 0)
}
