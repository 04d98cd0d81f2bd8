package event

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// The limits of buffered log lines.
const (
	// maxLines is the number of lines that are buffered while the output blocks.
	maxLines = 2048
	// maxLinesAtOnce is that number once lines are written at once: those of all requests under way come together.
	maxLinesAtOnce = 8 * maxLines
	// flushDelay is how long lines are collected for one write.
	flushDelay = 50 * time.Millisecond
	// linesPerSecond limits the ordinary lines of each kind.
	linesPerSecond = 300
)

// line is a buffered log line.
type line struct {
	text      []byte
	important bool
}

// Writer writes log lines in the background, so that a slow or blocked output delays no caller. If
// the buffer is full, the oldest ordinary lines are dropped first, and important ones only if there
// are no others; the number of dropped lines is logged.
type Writer struct {
	out io.Writer

	mu    sync.Mutex
	lines []line
	// limit is the number of lines that are buffered.
	limit   int
	dropped int
	wake    chan struct{}
	// halfFull is told when half of the buffer is used.
	halfFull chan struct{}
	// atOnce is closed once lines are written without being collected.
	atOnce    chan struct{}
	setAtOnce sync.Once
	closed    chan struct{}
	done      chan struct{}
	// important tells whether the next line is important; second and kinds count the lines of each
	// kind in the current second.
	important bool
	second    int64
	kinds     map[Kind]int
}

// NewWriter returns a writer and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, limit: maxLines, wake: make(chan struct{}, 1), halfFull: make(chan struct{}, 1), atOnce: make(chan struct{}), closed: make(chan struct{}), done: make(chan struct{}), kinds: map[Kind]int{}}
	go w.run()
	return w
}

// Admit reports whether a line of a kind may be written in this second, and sets the importance of
// the line that follows.
func (w *Writer) Admit(now time.Time, kind Kind, important bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.important = important
	if second := now.Unix(); second != w.second {
		w.second = second
		clear(w.kinds)
	}
	w.kinds[kind]++
	if !important && w.kinds[kind] > linesPerSecond {
		w.dropped++
		return false
	}
	return true
}

// Write buffers one line; it never blocks.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	if len(w.lines) >= w.limit {
		w.dropOne()
	}
	w.lines = append(w.lines, line{text: append([]byte(nil), p...), important: w.important})
	halfFull := len(w.lines) == maxLines/2
	w.mu.Unlock()
	tell(w.wake)
	if halfFull {
		tell(w.halfFull)
	}
	return len(p), nil
}

// tell sends to a channel unless it is full.
func tell(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// dropOne drops the oldest ordinary line, or else the oldest one; the lock is held.
func (w *Writer) dropOne() {
	w.dropped++
	for i := range w.lines {
		if !w.lines[i].important {
			w.lines = append(w.lines[:i], w.lines[i+1:]...)
			return
		}
	}
	w.lines = w.lines[1:]
}

// Dropped returns the number of dropped lines that were not logged yet.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case <-w.wake:
			w.collect()
			w.flush()
		case <-w.closed:
			for w.flush() {
			}
			return
		}
	}
}

// collect waits for further lines.
func (w *Writer) collect() {
	select {
	case <-time.After(flushDelay):
	case <-w.halfFull:
	case <-w.atOnce:
	case <-w.closed:
	}
}

// WriteAtOnce makes the writer write each line as soon as the output takes it, from now on. A process that may be killed
// any time leaves its lines then.
func (w *Writer) WriteAtOnce() {
	w.mu.Lock()
	w.limit = maxLinesAtOnce
	w.mu.Unlock()
	w.setAtOnce.Do(func() { close(w.atOnce) })
}

// flush writes the buffered lines and the number of dropped ones. It reports whether there were any.
func (w *Writer) flush() bool {
	w.mu.Lock()
	lines, dropped := w.lines, w.dropped
	w.lines, w.dropped = nil, 0
	w.mu.Unlock()
	var text []byte
	for _, l := range lines {
		text = append(text, l.text...)
	}
	if dropped > 0 {
		text = fmt.Appendf(text, "event=%d lines=%d msg=log-lines-left-out\n", LogLinesDropped, dropped)
	}
	if len(text) > 0 {
		_, _ = w.out.Write(text)
	}
	return len(text) > 0
}

// Close writes the buffered lines; it waits at most for the given time.
func (w *Writer) Close(limit time.Duration) {
	close(w.closed)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}
