package event

import (
	"io"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// Limits of an event's texts, parts of which other processes send.
const (
	// maxReasonBytes is more than what the reasons of a request with several attempts take.
	maxReasonBytes = 4 << 10
	// maxNameBytes limits the names of what an event is about.
	maxNameBytes = 1 << 10
)

// Event records one decision.
type Event struct {
	Seq      uint64    `json:"seq"`
	At       time.Time `json:"at"`
	Node     string    `json:"node"`
	Kind     Kind      `json:"kind"`
	Name     string    `json:"name"`
	Request  string    `json:"request,omitempty"`
	Model    string    `json:"model,omitempty"`
	Host     string    `json:"host,omitempty"`
	Zone     string    `json:"zone,omitempty"`
	Reason   string    `json:"reason,omitempty"`
	Rejected string    `json:"rejected,omitempty"`
	Cause    uint64    `json:"cause,omitempty"`
}

// About reports whether a word is the event's request, model, host, zone, name or node; the empty
// word matches every event.
func (e Event) About(word string) bool {
	if word == "" {
		return true
	}
	return e.Request == word || e.Model == word || e.Host == word || e.Zone == word || e.Name == word || e.Node == word
}

// perRequest reports whether a kind occurs for each request; such events are logged only at debug
// level.
func (k Kind) perRequest() bool {
	return k >= RequestRouted && k < HostEjected
}

// Ring keeps the latest events of a process and logs each one; it is safe for concurrent use.
type Ring struct {
	mu     sync.Mutex
	node   string
	events []Event
	next   uint64
	notify chan struct{}
	logger *log.Logger
	writer *Writer
	now    func() time.Time
	// writing keeps a line together with what the writer was told of it.
	writing sync.Mutex
}

// NewRing returns a ring of size events for the process named node; logger may be nil.
func NewRing(node string, size int, logger *log.Logger, now func() time.Time) *Ring {
	return &Ring{
		node:   node,
		events: make([]Event, size),
		next:   1,
		notify: make(chan struct{}),
		logger: logger,
		now:    now,
	}
}

// SetWriter sets the writer that limits the rate of the logger's lines.
func (r *Ring) SetWriter(w *Writer) { r.writer = w }

// important reports whether a kind indicates a failure, or a start or stop; its lines are dropped
// last.
func (k Kind) important() bool {
	switch k {
	case AnswerEndedEarly, RequestUnderWay, ReplicaEnded, ContentQuarantined, ContentReleased, RequestRefused, ConfigRefused, StorageFailed, ControlLost, LeaderLost, HostEjected, ProcessStarted, StopSignalLearned, ProcessStopped:
		return true
	}
	return false
}

// NewLogger returns the structured logger of a process.
func NewLogger(w io.Writer, node string) *log.Logger {
	return log.NewWithOptions(w, log.Options{
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Formatter:       log.LogfmtFormatter,
		Fields:          []any{"node", node},
	})
}

// shorten cuts the texts of an event. A part of a text would keep the whole of it in memory.
func (e *Event) shorten() {
	for _, text := range []*string{&e.Reason, &e.Rejected} {
		cut(text, maxReasonBytes)
	}
	for _, text := range []*string{&e.Request, &e.Model, &e.Host, &e.Zone} {
		cut(text, maxNameBytes)
	}
}

func cut(text *string, limit int) {
	if len(*text) > limit {
		*text = strings.ToValidUTF8(strings.Clone((*text)[:limit]), "")
	}
}

// Add sets the event's number, time and process, stores and logs it, and returns the number. Long texts are cut.
func (r *Ring) Add(e Event) uint64 {
	if r == nil {
		return 0
	}
	e.shorten()
	r.mu.Lock()
	e.Seq = r.next
	e.At = r.now()
	e.Node = r.node
	e.Name = e.Kind.String()
	r.events[r.next%uint64(len(r.events))] = e
	r.next++
	close(r.notify)
	r.notify = make(chan struct{})
	r.mu.Unlock()
	r.write(e)
	return e.Seq
}

// write logs an event.
func (r *Ring) write(e Event) {
	if r.logger == nil {
		return
	}
	level := log.InfoLevel
	if e.Kind.perRequest() {
		level = log.DebugLevel
	}
	r.writing.Lock()
	defer r.writing.Unlock()
	if r.writer != nil && !r.writer.Admit(e.At, e.Kind, e.Kind.important()) {
		return
	}
	fields := []any{"event", uint16(e.Kind), "seq", e.Seq}
	fields = appendField(fields, "request", e.Request)
	fields = appendField(fields, "model", e.Model)
	fields = appendField(fields, "host", e.Host)
	fields = appendField(fields, "zone", e.Zone)
	fields = appendField(fields, "reason", e.Reason)
	fields = appendField(fields, "rejected", e.Rejected)
	r.logger.Log(level, e.Name, fields...)
}

func appendField(fields []any, key, value string) []any {
	if value == "" {
		return fields
	}
	return append(fields, key, value)
}

// Since returns the stored events after number seq that are about word, oldest first, and a channel
// that is closed when the next event is added.
func (r *Ring) Since(seq uint64, word string) ([]Event, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := uint64(len(r.events))
	first := seq + 1
	if r.next > size && first < r.next-size {
		first = r.next - size
	}
	var found []Event
	for n := first; n < r.next; n++ {
		e := r.events[n%size]
		if e.Seq == n && e.About(word) {
			found = append(found, e)
		}
	}
	return found, r.notify
}

// Last returns the number of the newest event, 0 if there is none.
func (r *Ring) Last() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next - 1
}
