package placer

import "context"

// sendCheckKey is the key of an order's check in a context.
type sendCheckKey struct{}

// withSendCheck returns a context for the call that sends an order.
func withSendCheck(ctx context.Context, check func() bool) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, check)
}

// SendCheck returns the function that reports whether the order of a context may still be sent, nil if the context is
// that of another call. It is called right before the first byte: dialing takes time, and the process may stand still.
func SendCheck(ctx context.Context) func() bool {
	check, _ := ctx.Value(sendCheckKey{}).(func() bool)
	return check
}
