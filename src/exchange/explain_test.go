package exchange

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/event"
)

// logText collects the log of a process.
type logText struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// linesWith returns the lines that contain a word.
func (l *logText) linesWith(word string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, line := range strings.Split(l.text.String(), "\n") {
		if strings.Contains(line, word) {
			found = append(found, line)
		}
	}
	return strings.Join(found, "\n")
}

// logged makes a bench write a log and returns it.
func (b *bench) logged() *logText {
	text := &logText{}
	logger := event.NewLogger(text, "gateway-1")
	logger.SetLevel(log.DebugLevel)
	ring := event.NewRing("gateway-1", 64, logger, time.Now)
	b.handler.options.Ring = ring
	b.fleet.ring = ring
	return text
}

// awaitResultLine waits for the log line with the request's result, which is written after the
// response to the client.
func awaitResultLine(t *testing.T, text *logText, request string) string {
	t.Helper()
	for range 1000 {
		if lines := text.linesWith("request=" + request); strings.Contains(lines, "status") {
			return lines
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("no log line with the result of request %s", request)
	return ""
}

// TestTheLogExplainsThreeFailures finds the cause of a failure by the request ID in the log alone,
// as described in docs/OPERATIONS.md.
func TestTheLogExplainsThreeFailures(t *testing.T) {
	t.Run("refused though there was room", func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, route(catalog.Unsafe, 1), newReplica(t, "a", whole))
		text := b.logged()
		is.Equal(b.do("POST", "q1", "x", testModel+": rare", testDeadline+": 50").status, 503)
		lines := awaitResultLine(t, text, "q1")
		is.True(strings.Contains(lines, "event=702"))
		is.True(strings.Contains(lines, "status 503"))
		is.True(strings.Contains(lines, "sent to 0"))
		is.True(strings.Contains(lines, "no replica in reach holds the model"))
		is.True(strings.Contains(lines, "model=rare"))
		is.True(strings.Contains(lines, "configuration 1"))
	})
	t.Run("a stream broken off midway", func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, route(catalog.Streaming, 1), newReplica(t, "a", breaking(2)))
		text := b.logged()
		is.True(b.do("POST", "q2", "x").err != nil)
		lines := awaitResultLine(t, text, "q2")
		is.True(strings.Contains(lines, "event=702"))
		is.True(strings.Contains(lines, "status 0"))
		is.True(strings.Contains(lines, "may have run at 1"))
		is.True(strings.Contains(lines, "a broke the stream off after event 2"))
		is.True(!strings.Contains(lines, "the client left"))
	})
	t.Run("late though nothing failed", func(t *testing.T) {
		is := is.New(t)
		b := newBench(t, route(catalog.Unsafe, 1), newReplica(t, "a", func(a arrival) bool {
			time.Sleep(60 * time.Millisecond)
			return whole(a)
		}))
		text := b.logged()
		b.fleet.peers["a"].updateLoad(time.Now(), Load{Known: true, Running: 9, Waiting: 3, Slots: 4})
		is.Equal(b.do("POST", "q3", "x").status, 200)
		lines := awaitResultLine(t, text, "q3")
		is.True(strings.Contains(lines, "event=704"))
		is.True(strings.Contains(lines, "host=a"))
		is.True(strings.Contains(lines, "of 1 candidates"))
		is.True(strings.Contains(lines, "waiting 3 of 4")) // the cause: queued requests
		is.True(strings.Contains(lines, "ms old"))
	})
}
