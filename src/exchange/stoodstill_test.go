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
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/registry"
)

// Settings of the gateway process that a test stops for a while, by environment variable.
const (
	envPausedReplica = "EXCHANGE_TEST_PAUSED_REPLICA"
	envPausedKind    = "EXCHANGE_TEST_PAUSED_KIND"
	envPausedTimeout = "EXCHANGE_TEST_PAUSED_TIMEOUT"
)

// newsDrained is the line that tells the gateway process that its replica is leaving.
const newsDrained = "drained\n"

// TestGatewayProcessToBePaused is no test: it is the gateway process of the tests that pause one.
func TestGatewayProcessToBePaused(t *testing.T) {
	address := os.Getenv(envPausedReplica)
	if address == "" {
		t.Skip("not started as a gateway process")
	}
	timeout, err := time.ParseDuration(os.Getenv(envPausedTimeout))
	if err != nil {
		t.Fatal(err)
	}
	r := route(catalog.Kind(os.Getenv(envPausedKind)), 1)
	r.Timeout = timeout
	b := newBench(t, r)
	b.registerAddress("a", address)
	fmt.Println(b.server.Listener.Addr())
	news := bufio.NewReader(os.Stdin)
	for {
		line, err := news.ReadString('\n')
		if err != nil {
			return
		}
		if line == newsDrained {
			b.fleet.SetReplicas(registry.Changes{Entries: []registry.Entry{{Record: registry.Record{ID: "a", Service: "s", Address: address, Zone: "z", SoftwareVersion: "v1", Slots: 4, Draining: true}}}})
		}
	}
}

// pausedGateway is a gateway process that can be stopped for a while.
type pausedGateway struct {
	t       *testing.T
	address string
	process *os.Process
	news    io.Writer
}

func startPausedGateway(t *testing.T, kind catalog.Kind, timeout time.Duration, replica *fakeReplica) *pausedGateway {
	t.Helper()
	command := exec.Command(os.Args[0], "-test.run=^TestGatewayProcessToBePaused$")
	command.Env = append(os.Environ(), envPausedReplica+"="+replica.listener.Addr().String(), envPausedKind+"="+string(kind), envPausedTimeout+"="+timeout.String())
	news, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := command.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return &pausedGateway{t: t, address: strings.TrimSpace(line), process: command.Process, news: news}
}

// pause stops the process for a time, in which meanwhile is called.
func (g *pausedGateway) pause(length time.Duration, meanwhile func()) {
	g.t.Helper()
	g.signal(syscall.SIGSTOP)
	until := time.Now().Add(length)
	meanwhile()
	time.Sleep(time.Until(until))
	g.signal(syscall.SIGCONT)
}

func (g *pausedGateway) signal(s os.Signal) {
	g.t.Helper()
	if err := g.process.Signal(s); err != nil {
		g.t.Fatal(err)
	}
}

// send sends a request on a connection of its own and returns the connection.
func (g *pausedGateway) send(name string, headers ...string) net.Conn {
	g.t.Helper()
	conn, err := net.Dial("tcp", g.address)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { _ = conn.Close() })
	head := "POST /p/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n" + testID + ": " + name + "\r\n"
	for _, header := range headers {
		head += header + "\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		g.t.Fatal(err)
	}
	return conn
}

// readAnswer reads the response on a connection.
func readAnswer(conn net.Conn) clientResponse {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return clientResponse{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return clientResponse{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// TestAPauseOfTheGatewayIsNoSilenceOfItsReplica: a gateway that had stood still took the time for its replica's silence,
// and a closed listener for its end, before it read the news that the replica was leaving or the rest of the answer.
func TestAPauseOfTheGatewayIsNoSilenceOfItsReplica(t *testing.T) {
	const (
		pause   = 1500 * time.Millisecond
		streams = 20
		// newsDelay is how long a process that goes on takes to read its news.
		newsDelay = 20 * time.Millisecond
	)
	for _, c := range []struct {
		name string
		// inPause is set if the replica ends its streams while the gateway stands still.
		inPause bool
	}{
		{"the replica leaves, and is at work", false},
		{"the whole answer waits", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			finish := make(chan struct{})
			begun := make(chan struct{}, streams)
			replica := newReplica(t, "a", func(a arrival) bool {
				beginStream(a)
				begun <- struct{}{}
				<-finish
				finishStream(a)
				return true
			})
			g := startPausedGateway(t, catalog.Streaming, 10*time.Second, replica)
			conns := make([]net.Conn, streams)
			for i := range conns {
				conns[i] = g.send(fmt.Sprint("request ", i))
				<-begun
			}
			time.Sleep(200 * time.Millisecond)
			g.pause(pause, func() {
				_ = replica.listener.Close()
				if c.inPause {
					close(finish)
				}
			})
			if !c.inPause {
				time.Sleep(newsDelay)
				_, err := io.WriteString(g.news, newsDrained)
				is.NoErr(err)
				time.Sleep(300 * time.Millisecond)
				close(finish)
			}
			lost := 0
			for _, conn := range conns {
				if got := readAnswer(conn); got.err != nil || answerText(catalog.Streaming, got) != "1 2" {
					lost++
				}
			}
			is.Equal(lost, 0)
		})
	}
}
