package gateway

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/google/uuid"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/wire"
)

// Timing of claims.
const (
	// claimTimeout is longer than a leader election of the control nodes takes.
	// When it expires, the call is refused as not run.
	claimTimeout    = 2 * time.Second
	settleTimeout   = 2 * time.Second
	settleAttempts  = 5
	claimRetryDelay = 300 * time.Millisecond
)

// onceClaim is a claim on the idempotency key of a call that must not be
// repeated. It is nil for calls without such a key.
type onceClaim struct {
	server *Server
	key    string
	token  string
}

// claimKey claims the idempotency key of a call that must not be repeated, if it
// has one. It refuses the call as not run if the key was claimed before, or if no
// control node can tell.
func (s *Server) claimKey(ctx context.Context, r *request) (*onceClaim, *Refusal) {
	if !r.once || r.key == "" {
		return nil, nil
	}
	claim := &onceClaim{server: s, key: r.queueName() + "\x00" + r.key, token: uuid.NewString()}
	request := wire.ClaimRequest{Key: claim.key, Token: claim.token, Holder: s.node, Expiry: s.claimExpiry(r)}
	wait := claimTimeout
	if !r.deadline.IsZero() {
		wait = min(wait, r.deadline.Sub(s.now()))
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	reply := s.requestClaim(ctx, request)
	if reply.Outcome != wire.Accepted {
		// Nothing was sent to a backend server, so the key can be released even
		// if the claim was granted.
		go claim.release()
		return nil, r.refuse(consts.StatusServiceUnavailable, ReasonNoControlNode, DidNotRun, "no control node could say whether the key was used before").retryAfter(defaultRetryAfter)
	}
	if reply.State == wire.ClaimAcquired {
		return claim, nil
	}
	refusal := r.refuse(consts.StatusConflict, ReasonClaimed, DidNotRun, "the key was claimed before; this call was not run")
	refusal.State = string(reply.State)
	return nil, refusal
}

// requestClaim sends the request until a control node accepts it or the context
// ends. Repeating it is safe, since the token stays the same.
func (s *Server) requestClaim(ctx context.Context, request wire.ClaimRequest) wire.ClaimReply {
	for {
		var reply wire.ClaimReply
		err := s.follower.Call(ctx, wire.MethodClaim, request, &reply)
		if err == nil && reply.Outcome == wire.Accepted {
			return reply
		}
		select {
		case <-ctx.Done():
			return wire.ClaimReply{Outcome: wire.Unavailable}
		case <-time.After(claimRetryDelay):
		}
	}
}

func (s *Server) claimExpiry(r *request) config.Duration {
	if definition := s.follower.Set().Service(r.requirements.Pool); definition != nil {
		return definition.ClaimExpiry
	}
	return 0
}

// settle reports the outcome of the call to the control nodes, in the background.
func (c *onceClaim) settle(refusal *Refusal) {
	if c == nil {
		return
	}
	switch {
	case refusal == nil || refusal.NotRun == DidRun:
		go c.report(wire.SettleRequest{Key: c.key, Token: c.token, State: wire.ClaimDone})
	case refusal.NotRun == DidNotRun:
		go c.release()
	default:
		go c.report(wire.SettleRequest{Key: c.key, Token: c.token, State: wire.ClaimUnknown})
	}
}

// release frees the key of a call that certainly did not run.
func (c *onceClaim) release() {
	c.report(wire.SettleRequest{Key: c.key, Token: c.token, Released: true})
}

func (c *onceClaim) report(request wire.SettleRequest) {
	for i := 0; i < settleAttempts; i++ {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		var reply wire.SettleReply
		err := c.server.follower.Call(ctx, wire.MethodSettle, request, &reply)
		cancel()
		if err == nil && (reply.Outcome == wire.Accepted || reply.Outcome == wire.Refused) {
			return
		}
		time.Sleep(claimRetryDelay << i)
	}
}
