package event

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
)

// blockedOutput is an output that blocks until it is opened.
type blockedOutput struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *blockedOutput) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

func (g *blockedOutput) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

// TestABlockedOutputDelaysNobody adds far more events than are buffered while the output blocks. If
// Add blocked, the test would not end. Lines of failures must outlast ordinary ones, and the number
// of dropped lines must be logged.
func TestABlockedOutputDelaysNobody(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{open: make(chan struct{})}
	writer := NewWriter(out)
	logger := NewLogger(writer, "n")
	logger.SetLevel(log.DebugLevel)
	now := time.Unix(1_800_000_000, 0)
	ring := NewRing("n", 16, logger, func() time.Time { return now })
	ring.SetWriter(writer)
	ring.Add(Event{Kind: RequestRefused, Request: "first"})
	for i := range 3 * maxLines {
		now = now.Add(5 * time.Millisecond) // 200 per second: below the limit of a kind
		ring.Add(Event{Kind: RequestFinished, Request: fmt.Sprint("ordinary-", i)})
	}
	ring.Add(Event{Kind: RequestRefused, Request: "last"})
	close(out.open)
	writer.Close(time.Minute)
	text := out.String()
	is.True(strings.Contains(text, "request=first"))
	is.True(strings.Contains(text, "request=last"))
	is.True(strings.Contains(text, "log-lines-left-out"))
	is.True(strings.Count(text, "\n") <= 2*maxLines+2) // one write in progress and a full buffer
}

func TestLinesOfAKindAreLimitedPerSecond(t *testing.T) {
	is := is.New(t)
	writer := NewWriter(&bytes.Buffer{})
	now := time.Unix(1_800_000_000, 0)
	admitted, important := 0, 0
	for range 2 * linesPerSecond {
		if writer.Admit(now, RequestFinished, false) {
			admitted++
		}
		if writer.Admit(now, RequestRefused, true) {
			important++
		}
	}
	is.Equal(admitted, linesPerSecond)
	is.Equal(important, 2*linesPerSecond)
	is.True(writer.Admit(now.Add(time.Second), RequestFinished, false))
	writer.Close(time.Minute)
}
