package event

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
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

// recordedOutput is an output that can be written to from several goroutines.
type recordedOutput struct {
	mu   sync.Mutex
	text bytes.Buffer
	// delay is how long a write takes.
	delay time.Duration
}

func (o *recordedOutput) Write(p []byte) (int, error) {
	time.Sleep(o.delay)
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *recordedOutput) lines() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return bytes.Count(o.text.Bytes(), []byte("\n"))
}

// TestManyLinesWithinTheDelayAreAllWritten: the buffer was emptied only after the delay, and a gateway that cut many
// requests off lost their lines.
func TestManyLinesWithinTheDelayAreAllWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &recordedOutput{}
		writer := NewWriter(out)
		const lines = 4 * maxLines
		for i := range lines {
			_, _ = writer.Write([]byte("line\n"))
			if i%100 == 0 {
				synctest.Wait()
			}
		}
		writer.Close(time.Minute)
		is.Equal(out.lines(), lines)
	})
}

// TestACloseDoesNotAwaitTheDelay: a process that ended gave its log less time than the delays took.
func TestACloseDoesNotAwaitTheDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &recordedOutput{}
		writer := NewWriter(out)
		_, _ = writer.Write([]byte("line\n"))
		synctest.Wait()
		began := time.Now()
		writer.Close(time.Minute)
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(out.lines(), 1)
	})
}

// TestLinesThatComeDuringTheLastWriteAreWritten: handlers end while the log is closed.
func TestLinesThatComeDuringTheLastWriteAreWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const lines = 20
		out := &recordedOutput{delay: 20 * time.Millisecond}
		writer := NewWriter(out)
		go func() {
			for range lines {
				_, _ = writer.Write([]byte("line\n"))
				time.Sleep(out.delay / 2)
			}
		}()
		defer time.Sleep(time.Second) // until the goroutine has ended
		synctest.Wait()
		writer.Close(time.Minute)
		is.Equal(out.lines(), lines)
	})
}

// TestLinesAreWrittenAtOnceForAProcessThatMayBeKilled: the lines of the last 50 ms were lost with the process.
func TestLinesAreWrittenAtOnceForAProcessThatMayBeKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &recordedOutput{}
		writer := NewWriter(out)
		defer writer.Close(time.Minute)
		_, _ = writer.Write([]byte("line\n"))
		synctest.Wait()
		is.Equal(out.lines(), 0)
		began := time.Now()
		writer.WriteAtOnce()
		writer.WriteAtOnce()
		synctest.Wait()
		is.Equal(out.lines(), 1) // what was being collected
		_, _ = writer.Write([]byte("line\n"))
		_, _ = writer.Write([]byte("line\n"))
		synctest.Wait()
		is.Equal(out.lines(), 3)
		is.Equal(time.Since(began), time.Duration(0))
	})
}

// TestLinesAtOnceOutlastASlowOutput: the lines of thousands of requests come within the time of one write, and must not
// delay their callers.
func TestLinesAtOnceOutlastASlowOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &recordedOutput{delay: time.Second}
		writer := NewWriter(out)
		writer.WriteAtOnce()
		began := time.Now()
		for range maxLinesAtOnce {
			_, _ = writer.Write([]byte("line\n"))
		}
		is.Equal(time.Since(began), time.Duration(0))
		writer.Close(time.Minute)
		is.Equal(out.lines(), maxLinesAtOnce)
	})
}

// TestLinesOfRequestsUnderWayOutlastOthers: they are the only ones of a request that the end of the process ends, and
// come all at once.
func TestLinesOfRequestsUnderWayOutlastOthers(t *testing.T) {
	is := is.New(t)
	out := &blockedOutput{open: make(chan struct{})}
	writer := NewWriter(out)
	logger := NewLogger(writer, "n")
	logger.SetLevel(log.DebugLevel)
	now := time.Unix(1_800_000_000, 0)
	ring := NewRing("n", 16, logger, func() time.Time { return now })
	ring.SetWriter(writer)
	for i := range 3 * linesPerSecond {
		ring.Add(Event{Kind: RequestUnderWay, Request: fmt.Sprint("under-way-", i)})
	}
	for range maxLines {
		now = now.Add(5 * time.Millisecond) // 200 per second: below the limit of a kind
		ring.Add(Event{Kind: RequestFinished})
	}
	close(out.open)
	writer.Close(time.Minute)
	is.Equal(strings.Count(out.String(), "request=under-way-"), 3*linesPerSecond)
}

// TestLinesKeepTheirImportanceBesideOthers: lines of failures counted as ordinary ones, and were dropped first, if
// another goroutine logged at the same time.
func TestLinesKeepTheirImportanceBesideOthers(t *testing.T) {
	is := is.New(t)
	const important = maxLines / 2
	out := &blockedOutput{open: make(chan struct{})}
	writer := NewWriter(out)
	logger := NewLogger(writer, "n")
	logger.SetLevel(log.DebugLevel)
	var seconds atomic.Int64 // each line has its own, so that no limit applies
	ring := NewRing("n", 16, logger, func() time.Time { return time.Unix(seconds.Add(1), 0) })
	ring.SetWriter(writer)
	var adding sync.WaitGroup
	for range 4 {
		adding.Go(func() {
			for range important / 4 {
				ring.Add(Event{Kind: RequestUnderWay})
			}
		})
		adding.Go(func() {
			for range maxLines {
				ring.Add(Event{Kind: RequestFinished})
			}
		})
	}
	adding.Wait()
	close(out.open)
	writer.Close(time.Minute)
	is.Equal(strings.Count(out.String(), "msg=request-under-way"), important)
}
