package fleet

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/event"
)

const (
	// cutConns is the number of requests that a stop cuts off, linesPerCut the lines of each.
	cutConns    = 400
	linesPerCut = 2
	// lastAnswer is how long the last handler takes, as on busy processors.
	lastAnswer = 120 * time.Millisecond
	// lastLinesWait is how long the end of the process waits for its log.
	lastLinesWait = 150 * time.Millisecond
)

// slowOutput is an output whose writes take a while.
type slowOutput struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *slowOutput) Write(p []byte) (int, error) {
	time.Sleep(20 * time.Millisecond)
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *slowOutput) lines() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Count(o.text.String(), "event=717")
}

// TestTheLinesOfManyRequestsThatAreCutOffAreWritten: connections were closed, and the process ended, before handlers on busy
// processors had answered and written their lines.
func TestTheLinesOfManyRequestsThatAreCutOffAreWritten(t *testing.T) {
	is := is.New(t)
	out := &slowOutput{}
	writer := event.NewWriter(out)
	logger := event.NewLogger(writer, "n")
	logger.SetLevel(log.DebugLevel)
	ring := event.NewRing("n", 16, logger, time.Now)
	ring.SetWriter(writer)
	cut := make(chan struct{})
	var begun sync.WaitGroup
	begun.Add(cutConns)
	server, err := listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun.Done()
		<-cut
		time.Sleep(rand.N(lastAnswer))
		w.WriteHeader(http.StatusBadGateway)
		_, _ = io.WriteString(w, "whole")
		for range linesPerCut {
			ring.Add(event.Event{Kind: event.AnswerEndedEarly, Reason: strings.Repeat("x", 500)})
		}
	}))
	is.NoErr(err)
	var conns []*keptConn
	for range cutConns {
		conn := newKeptConn(t, server.listener.Addr().String())
		conn.send(t, stopRequest)
		conns = append(conns, conn)
	}
	begun.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = server.stop(ctx)
	close(cut) // as CutOff does
	awaitServers(answerWait, server)
	closeServers(server)
	writer.Close(lastLinesWait)
	is.Equal(out.lines(), linesPerCut*cutConns)
	for _, conn := range conns {
		is.Equal(conn.answer(), "whole")
	}
}
