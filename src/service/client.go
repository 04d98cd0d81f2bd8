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

// The calls' times and limits.
const (
	dialTimeout  = 500 * time.Millisecond
	writeTimeout = 2 * time.Second
	maxConns     = 1024
)

// HeaderKey carries a once key, after the IETF draft "The Idempotency-Key HTTP Header Field".
const HeaderKey = "Idempotency-Key"

// Call is a call on its way to a plain service.
type Call struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
	ID          string
	Key         string
	// Once forbids that the call is sent a second time by anybody.
	Once  bool
	Trace string
}

// Answer is a whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Load        engine.Load
}

// Failure says why there is no answer.
type Failure struct {
	// NotRun is true only if the call certainly did not run.
	NotRun  bool
	Leaving bool
	Status  int
	cause   error
}

// Error returns why.
func (f *Failure) Error() string { return f.cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// Client calls plain services; it is safe for concurrent use.
type Client struct {
	// pooled reuses connections; single opens one for each call that must not be
	// repeated, because a reused one may have been closed by the other side,
	// which looks the same as a call that was lost half way.
	pooled *dial.Client
	single *dial.Client
}

// New returns a client; wait bounds each silence of a service.
func New(cut *fault.Cut, wait time.Duration) (*Client, error) {
	options := dial.Options{Dial: dialTimeout, Read: wait, Write: writeTimeout, Conns: maxConns, Reuse: true}
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

// Do sends a call to the service at an address; its error is always a Failure.
func (c *Client) Do(ctx context.Context, address string, call Call) (Answer, error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	fill(request, address, call)
	client := c.pooled
	if call.Once {
		client = c.single
		// The library sends a call with a plain body again by itself when a
		// connection fails early; it never does so with a streamed one.
		request.SetBodyStream(bytes.NewReader(call.Body), len(call.Body))
	}
	if err := client.Do(ctx, request, response); err != nil {
		return Answer{}, &Failure{NotRun: dial.IsDial(err), cause: err}
	}
	if response.Header.Get(engine.HeaderNotRun) == "true" {
		status := response.StatusCode()
		leaving := response.Header.Get(engine.HeaderLeaving) == "true"
		return Answer{}, &Failure{NotRun: true, Leaving: leaving, Status: status, cause: errors.Errorf("the service answered %d, not run", status)}
	}
	return Answer{
		Status:      response.StatusCode(),
		ContentType: string(response.Header.ContentType()),
		Body:        append([]byte(nil), response.Body()...),
		Load:        engine.LoadOf(response),
	}, nil
}

func fill(request *protocol.Request, address string, call Call) {
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
