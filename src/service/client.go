package service

import (
	"bytes"
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/dial"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/fault"
)

// The timeouts and limits of calls.
const (
	dialTimeout  = 500 * time.Millisecond
	writeTimeout = 2 * time.Second
	maxConns     = 1024
	// maxAnswerBytes is the longest answer: it is kept whole until it is passed on.
	maxAnswerBytes = 16 << 20
)

// HeaderKey is the header of a call's idempotency key, after the IETF draft "The Idempotency-Key
// HTTP Header Field".
const HeaderKey = "Idempotency-Key"

// Call is a call of a plain service.
type Call struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
	ID          string
	Key         string
	// AtMostOnce is set if the call must not be sent a second time.
	AtMostOnce bool
	Trace      string
}

// Answer is a complete response.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// EndsByClose is set if the body had neither a length nor chunks, so that nothing proves that it
	// is complete.
	EndsByClose bool
	Load        engine.Load
}

// Failure is the error of a call without a response.
type Failure struct {
	// NotRun is true only if the call certainly did not run.
	NotRun  bool
	Leaving bool
	Status  int
	cause   error
}

// Error returns the text of the cause.
func (f *Failure) Error() string { return f.cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// Client calls plain services; it is safe for concurrent use.
type Client struct {
	// pooled reuses connections. single opens a connection for each call that must not be repeated:
	// the other side may have closed a reused one, which can't be distinguished from a call that
	// was lost on the way.
	pooled *dial.Client
	single *dial.Client
}

// New returns a client; wait bounds each read from a service.
func New(cut *fault.Cut, wait time.Duration) (*Client, error) {
	options := dial.Options{Dial: dialTimeout, Read: wait, Write: writeTimeout, Conns: maxConns, Reuse: true, MaxBody: maxAnswerBytes}
	pooled, err := dial.New(cut, options)
	if err != nil {
		return nil, err
	}
	options.Reuse = false
	single, err := dial.New(cut, options)
	if err != nil {
		return nil, err
	}
	return &Client{pooled: pooled, single: single}, nil
}

// Do sends a call to the service at an address; its error is always a *Failure.
func (c *Client) Do(ctx context.Context, address string, call Call) (Answer, error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	fillRequest(request, address, call)
	client := c.pooled
	if call.AtMostOnce {
		client = c.single
		// Hertz retries a call with a plain body if a connection fails early, but never one with a
		// streamed body.
		request.SetBodyStream(bytes.NewReader(call.Body), len(call.Body))
	}
	if err := client.Do(ctx, request, response); err != nil {
		return Answer{}, &Failure{NotRun: dial.IsConnectError(err), cause: err}
	}
	if response.Header.Get(engine.HeaderNotRun) == "true" {
		status := response.StatusCode()
		leaving := response.Header.Get(engine.HeaderLeaving) == "true"
		_ = response.CloseBodyStream()
		return Answer{}, &Failure{NotRun: true, Leaving: leaving, Status: status, cause: errors.Errorf("the service answered %d, not run", status)}
	}
	endsByClose := dial.EndsByClose(response)
	body, err := client.ReadBody(response)
	if err != nil {
		return Answer{}, &Failure{cause: errors.Wrap(err, "the answer broke off")}
	}
	return Answer{
		Status:      response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		Body:        body,
		EndsByClose: endsByClose,
		Load:        engine.ResponseLoad(response),
	}, nil
}

// fillRequest sets the fields of a request.
func fillRequest(request *protocol.Request, address string, call Call) {
	request.SetMethod(call.Method)
	request.SetRequestURI("http://" + address + call.Path)
	if call.ContentType != "" {
		request.Header.SetContentTypeBytes([]byte(call.ContentType))
	}
	request.Header.Set(engine.HeaderRequestID, call.ID)
	if call.Key != "" {
		request.Header.Set(HeaderKey, call.Key)
	}
	if call.Trace != "" {
		request.Header.Set("traceparent", call.Trace)
	}
	if len(call.Body) > 0 {
		request.SetBodyRaw(call.Body)
	}
}
