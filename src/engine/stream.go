package engine

import (
	"context"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/dial"
	"github.com/moorspool/moorspool/src/fault"
)

const (
	// maxConns limits the connections to one engine.
	maxConns = 4096
	// maxEventBytes limits an event with the comments before it. The reader of events limits each line to half of it.
	maxEventBytes = 128 << 10
	// maxUnframedBytes limits a stream with neither a length nor chunks, which the HTTP library reads to its end first.
	maxUnframedBytes = 8 << 20
)

// Request is a completion request to an engine. Its body requests a stream.
type Request struct {
	Path       string
	Body       []byte
	ID         string
	Priority   int
	Deadline   time.Duration
	ResumeFrom uint64
	// Once tells a gateway that the request must not be repeated.
	Once bool
	// Trace is the traceparent header, "" for none.
	Trace string
}

// Failure is the error of a request that an engine did not answer.
type Failure struct {
	// NotRun is set only if the request certainly did not run.
	NotRun bool
	// Leaving is set if the engine reported that it is shutting down.
	Leaving bool
	// Missing is set if the engine does not have the model or adapter.
	Missing bool
	// Busy is set if the engine has no free slot.
	Busy   bool
	Status int
	cause  error
}

// Error returns the message of the cause.
func (f *Failure) Error() string { return f.cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// Load is the load and state that an engine reports in the headers of a response.
type Load struct {
	Running int
	Waiting int
	Known   bool
	// Leaving is set if the host reported that it is shutting down.
	Leaving bool
}

// Token is one event of a stream: its id, counted from 1, and its data.
type Token struct {
	ID   uint64
	Data []byte
}

// ErrAborted means that the server ended a stream early with an error event.
var ErrAborted = errors.New("the stream was given up")

// eventError is the type of the event by which a server ends a stream early.
const eventError = "error"

// errEventTooLong means that an event, or the comments before it, exceed maxEventBytes.
var errEventTooLong = errors.New("an event is too long")

// ErrBroken means that a stream ended without its end mark.
var ErrBroken = errors.New("the stream broke before its end")

// StreamClient opens completion streams on engines. It is safe for concurrent use.
type StreamClient struct {
	client *dial.Client
}

// NewStreamClient returns a client for completion streams. tokenWait limits the time
// in which an engine sends nothing.
func NewStreamClient(cut *fault.Cut, tokenWait time.Duration) (*StreamClient, error) {
	c, err := dial.New(cut, dial.Options{
		Dial:    dialTimeout,
		Read:    tokenWait,
		Write:   controlTimeout,
		Conns:   maxConns,
		Reuse:   true,
		MaxBody: maxUnframedBytes,
	})
	return &StreamClient{client: c}, err
}

// Stream is the answer to one request. It is used by one goroutine, but Abort may
// be called by another.
type Stream struct {
	client   *dial.Client
	request  *protocol.Request
	response *protocol.Response
	body     *eventBody
	reader   *sse.Reader
	event    *sse.Event
	load     Load
	complete bool
	// ended is set when the server has sent its last event.
	ended bool
}

// Open sends a request. Its error is always a *Failure.
func (s *StreamClient) Open(ctx context.Context, address string, r Request) (*Stream, error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	fillRequest(request, address, r)
	if err := s.client.Do(ctx, request, response); err != nil {
		protocol.ReleaseRequest(request)
		protocol.ReleaseResponse(response)
		return nil, &Failure{NotRun: dial.IsConnectError(err), cause: err}
	}
	stream := &Stream{client: s.client, request: request, response: response, load: ResponseLoad(response)}
	if status := response.StatusCode(); status != consts.StatusOK {
		failure := responseFailure(response)
		stream.Close()
		return nil, failure
	}
	stream.body = &eventBody{stream: response.BodyStream()}
	response.ConstructBodyStream(response.BodyBuffer(), stream.body)
	reader, err := sse.NewReader(response)
	if err != nil {
		stream.Close()
		return nil, &Failure{cause: err}
	}
	stream.reader = reader
	stream.event = sse.NewEvent()
	return stream, nil
}

// eventBody is the body of a stream. At the end of a body the reader of events passes on an event that was
// cut off there, so that end is an error: a stream ends with an event.
type eventBody struct {
	stream io.Reader
	// sinceEvent is how many bytes were read since the last event.
	sinceEvent int
}

// Read never returns io.EOF.
func (b *eventBody) Read(p []byte) (int, error) {
	if b.sinceEvent > maxEventBytes {
		return 0, errEventTooLong
	}
	n, err := b.stream.Read(p)
	b.sinceEvent += n
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Close releases the connection.
func (b *eventBody) Close() error {
	if closer, ok := b.stream.(io.Closer); ok {
		return closer.Close()
	}
	return nil
}

func fillRequest(request *protocol.Request, address string, r Request) {
	request.SetMethod(consts.MethodPost)
	request.SetRequestURI("http://" + address + r.Path)
	request.Header.SetContentTypeBytes([]byte("application/json"))
	request.Header.Set(HeaderRequestID, r.ID)
	if r.Priority != 0 {
		request.Header.Set(HeaderPriority, strconv.Itoa(r.Priority))
	}
	if r.Deadline > 0 {
		request.Header.Set(HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	if r.ResumeFrom > 0 {
		request.Header.Set(HeaderResumeFrom, strconv.FormatUint(r.ResumeFrom, 10))
	}
	if r.Once {
		request.Header.Set(HeaderOnce, "true")
	}
	if r.Trace != "" {
		request.Header.Set("traceparent", r.Trace)
	}
	request.SetBodyRaw(r.Body)
}

func responseFailure(response *protocol.Response) *Failure {
	status := response.StatusCode()
	const maxErrorBody = 300
	body := dial.ReadStart(response, maxErrorBody)
	return &Failure{
		NotRun:  response.Header.Get(HeaderNotRun) == "true",
		Leaving: response.Header.Get(HeaderLeaving) == "true",
		Missing: status == consts.StatusNotFound,
		Busy:    status == consts.StatusTooManyRequests,
		Status:  status,
		cause:   errors.Errorf("the engine answered %d %s", status, body),
	}
}

// ResponseLoad returns the load and state in the headers of a response.
func ResponseLoad(response *protocol.Response) Load {
	load := ParseLoad(response.Header.Get(HeaderLoad))
	load.Leaving = response.Header.Get(HeaderLeaving) == "true"
	return load
}

// FormatLoad formats a load as the value of HeaderLoad.
func FormatLoad(running, waiting int) string {
	return strconv.Itoa(running) + "/" + strconv.Itoa(waiting)
}

// ParseLoad parses the output of FormatLoad. Known is false for anything else.
func ParseLoad(value string) Load {
	first, second, found := strings.Cut(value, "/")
	running, errRunning := strconv.Atoi(first)
	waiting, errWaiting := strconv.Atoi(second)
	return Load{Running: running, Waiting: waiting, Known: found && errRunning == nil && errWaiting == nil}
}

// Load returns the load of the engine when it started the answer.
func (s *Stream) Load() Load { return s.load }

// Next returns the next token, whose data is valid until the next call. It returns
// io.EOF after the end mark, ErrBroken if the stream ended without one, and
// ErrAborted if the server sent an error event.
func (s *Stream) Next() (Token, error) {
	if s.complete {
		return Token{}, io.EOF
	}
	if err := s.reader.Read(s.event); err != nil {
		return Token{}, errors.Wrap(ErrBroken, err.Error())
	}
	s.body.sinceEvent = 0
	if string(s.event.Data) == StreamEnd {
		s.complete, s.ended = true, true
		return Token{}, io.EOF
	}
	if s.event.Type == eventError {
		s.ended = true
		return Token{}, errors.Wrap(ErrAborted, string(s.event.Data))
	}
	id, err := strconv.ParseUint(s.event.ID, 10, 64)
	if err != nil {
		return Token{}, errors.Wrapf(ErrBroken, "an event's id is %q", s.event.ID)
	}
	return Token{ID: id, Data: s.event.Data}, nil
}

// Abort ends the stream at once. It may be called from any goroutine.
func (s *Stream) Abort() { s.client.Abort(s.response) }

// Close releases the stream's resources. The connection is reused only if the
// server had sent its last event.
func (s *Stream) Close() {
	if !s.ended && s.reader != nil {
		s.Abort()
	}
	if s.event != nil {
		s.event.Release()
	}
	_ = s.response.CloseBodyStream()
	protocol.ReleaseRequest(s.request)
	protocol.ReleaseResponse(s.response)
}
