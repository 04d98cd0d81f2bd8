package rpc

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Handler handles a call or a notification.
type Handler func(ctx context.Context, peer *Peer, params json.RawMessage) (any, error)

// Mux maps methods to handlers. All handlers must be registered before it is used.
type Mux struct {
	methods map[string]Handler
}

// NewMux returns a Mux that handles only pings.
func NewMux() *Mux {
	m := &Mux{methods: map[string]Handler{}}
	m.Handle(methodPing, func(context.Context, *Peer, json.RawMessage) (any, error) { return struct{}{}, nil })
	return m
}

// Handle registers the handler of a method.
func (m *Mux) Handle(method string, handler Handler) { m.methods[method] = handler }

// Has reports whether a method is registered.
func (m *Mux) Has(method string) bool { return m.methods[method] != nil }

// Typed returns a handler that decodes its parameters as P. The error for malformed parameters contains the Go
// name of P or of a type nested in it, so renaming such a type changes the reply.
func Typed[P, R any](f func(ctx context.Context, peer *Peer, params P) (R, error)) Handler {
	return func(ctx context.Context, peer *Peer, raw json.RawMessage) (any, error) {
		var params P
		if len(raw) > 0 {
			if err := json.Unmarshal(raw, &params); err != nil {
				return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
			}
		}
		return f(ctx, peer, params)
	}
}

// Dispatch runs a method's handler. Both the TCP server and the administration API use it.
func (m *Mux) Dispatch(ctx context.Context, peer *Peer, method string, params json.RawMessage) (any, error) {
	handler := m.methods[method]
	if handler == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "there is no method " + method}
	}
	return handler(ctx, peer, params)
}

// IsUnknownMethod reports whether an error means that the peer does not know the method.
func IsUnknownMethod(err error) bool {
	var rpcErr *jsonrpc2.Error
	return errors.As(err, &rpcErr) && rpcErr.Code == jsonrpc2.CodeMethodNotFound
}

// IsResponse reports whether an error is a response from the peer rather than a failure to get one.
func IsResponse(err error) bool {
	var rpcErr *jsonrpc2.Error
	return errors.As(err, &rpcErr)
}

// handle runs notifications in order and calls concurrently.
func (m *Mux) handle(ctx context.Context, peer *Peer, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	if req.Notif {
		_, _ = m.Dispatch(ctx, peer, req.Method, params)
		return
	}
	go func() {
		result, err := m.Dispatch(ctx, peer, req.Method, params)
		if err != nil {
			_ = conn.ReplyWithError(ctx, req.ID, asError(err))
			return
		}
		_ = conn.Reply(ctx, req.ID, result)
	}()
}

func asError(err error) *jsonrpc2.Error {
	var rpcErr *jsonrpc2.Error
	if errors.As(err, &rpcErr) {
		return rpcErr
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
}
