package exchange

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
)

// Settings of the gateway process that a test kills, by environment variable.
const (
	envKilledReplica = "EXCHANGE_TEST_REPLICA"
	envKilledKind    = "EXCHANGE_TEST_KIND"
)

// killedGatewayLimit ends a gateway process that no test has killed.
const killedGatewayLimit = 30 * time.Second

// TestGatewayProcessToBeKilled is no test: it is the gateway process of the tests that kill one.
func TestGatewayProcessToBeKilled(t *testing.T) {
	address := os.Getenv(envKilledReplica)
	if address == "" {
		t.Skip("not started as a gateway process")
	}
	b := newBench(t, route(catalog.Kind(os.Getenv(envKilledKind)), 1))
	b.registerAddress("a", address)
	fmt.Println(b.server.Listener.Addr())
	time.Sleep(killedGatewayLimit)
}

// startGatewayProcess starts a gateway as a process of its own and returns its address.
func startGatewayProcess(t *testing.T, kind catalog.Kind, replica *fakeReplica) (address string, process *exec.Cmd) {
	t.Helper()
	process = exec.Command(os.Args[0], "-test.run=^TestGatewayProcessToBeKilled$")
	process.Env = append(os.Environ(), envKilledReplica+"="+replica.listener.Addr().String(), envKilledKind+"="+string(kind))
	out, err := process.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = process.Process.Kill()
		_ = process.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(line), process
}

// openRequest sends a request in a protocol on a connection of its own and returns the connection.
func openRequest(t testing.TB, address, protocol string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST /p/ %s\r\nHost: h.example\r\n%s: one\r\nContent-Length: 0\r\n\r\n", protocol, testID); err != nil {
		t.Fatal(err)
	}
	return conn
}

// The kernel of a killed process closes its connections in order.
func TestAResponseOfAKilledGatewayIsNotReadAsComplete(t *testing.T) {
	long := strings.Repeat("x", 2*maxBufferedBytes)
	for _, c := range []struct {
		name     string
		kind     catalog.Kind
		protocol string
		head     string
		body     string
	}{
		{"stream to the close, HTTP/1.1", catalog.Streaming, "HTTP/1.1", "", "id: 1\ndata: a\n\n"},
		{"stream to the close, HTTP/1.0", catalog.Streaming, "HTTP/1.0", "", "id: 1\ndata: a\n\n"},
		{"stream in chunks, HTTP/1.0", catalog.Streaming, "HTTP/1.0", "Transfer-Encoding: chunked\r\n", "f\r\nid: 1\ndata: a\n\n\r\n"},
		{"long body to the close, HTTP/1.1", catalog.Safe, "HTTP/1.1", "", long},
		{"long body to the close, HTTP/1.0", catalog.Safe, "HTTP/1.0", "", long},
		{"long body with a length, HTTP/1.0", catalog.Safe, "HTTP/1.0", fmt.Sprintf("Content-Length: %d\r\n", 2*len(long)), long},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			end := make(chan struct{})
			defer close(end)
			replica := newReplica(t, "a", func(a arrival) bool {
				_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 200 X\r\n%s: %s\r\n%s\r\n%s", testID, a.name(), c.head, c.body)
				<-end
				return false
			})
			address, process := startGatewayProcess(t, c.kind, replica)
			conn := openRequest(t, address, c.protocol)
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
			is.NoErr(err)
			_, err = io.ReadFull(response.Body, make([]byte, 10))
			is.NoErr(err)
			is.NoErr(process.Process.Kill())
			_, err = io.ReadAll(response.Body)
			is.True(err != nil) // the response looks complete
		})
	}
}
