package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
)

// Reason is the machine-readable reason of a refusal.
type Reason string

// The reasons of refusals.
const (
	ReasonBadRequest        Reason = "bad-request"
	ReasonUnknownModel      Reason = "unknown-model"
	ReasonNoCopy            Reason = "no-ready-copy"
	ReasonQueueFull         Reason = "queue-full"
	ReasonDeadline          Reason = "deadline-cannot-be-met"
	ReasonOvertaken         Reason = "overtaken-by-higher-priority"
	ReasonAttemptsExhausted Reason = "attempts-exhausted"
	ReasonAnswerBroken      Reason = "answer-broken"
	ReasonClaimed           Reason = "claimed-before"
	ReasonNoControlNode     Reason = "no-control-node-in-reach"
	ReasonOutcomeUnknown    Reason = "outcome-unknown"
	ReasonStopping          Reason = "gateway-stops"
)

// NotRun says whether a refused request is known not to have run on a backend server.
type NotRun string

// The values of NotRun. DidNotRun is used only when it is certain.
const (
	DidNotRun  NotRun = "true"
	DidRun     NotRun = "false"
	RunUnknown NotRun = "unknown"
)

// MarshalJSON writes true, false or "unknown".
func (n NotRun) MarshalJSON() ([]byte, error) {
	if n == RunUnknown {
		return json.Marshal(string(n))
	}
	return []byte(n), nil
}

// Refusal is the error response to a request that the gateway did not complete.
type Refusal struct {
	Reason  Reason `json:"type"`
	Message string `json:"message"`
	NotRun  NotRun `json:"not_run"`
	Request string `json:"request"`
	// RetryAfter is the delay after which a retry may succeed. It is sent in the
	// Retry-After header.
	RetryAfter time.Duration `json:"-"`
	// State is the state of an idempotency key that was claimed before.
	State  string `json:"state,omitempty"`
	status int
}

// refusalBody is the error body of the OpenAI-compatible interface.
type refusalBody struct {
	Error *Refusal `json:"error"`
}

// Error returns the refusal in one line.
func (r *Refusal) Error() string { return string(r.Reason) + ": " + r.Message }

func refuse(status int, reason Reason, notRun NotRun, message string) *Refusal {
	return &Refusal{Reason: reason, Message: message, NotRun: notRun, status: status}
}

// retryAfter sets the delay after which a retry may succeed.
func (r *Refusal) retryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}

// headerRetryAfter holds the delay before a retry in whole seconds.
const headerRetryAfter = "Retry-After"

// headerNotRun repeats not_run for callers that read no body.
const headerNotRun = "X-Not-Run"

func (r *Refusal) write(c *app.RequestContext) {
	if r.RetryAfter > 0 {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		c.Response.Header.Set(headerRetryAfter, strconv.FormatInt(seconds, 10))
	}
	c.Response.Header.Set(headerNotRun, string(r.NotRun))
	c.JSON(r.finalStatus(), refusalBody{Error: r})
}

// finalStatus returns the HTTP status of the response. A status from which
// clients conclude that the request did not run is replaced by 502 unless that
// is certain.
func (r *Refusal) finalStatus() int {
	if r.NotRun != DidNotRun && impliesNotRun(r.status) {
		return consts.StatusBadGateway
	}
	return r.status
}

// impliesNotRun reports whether a status tells clients that the request has not
// run and will not run.
func impliesNotRun(status int) bool {
	switch status {
	case consts.StatusServiceUnavailable, consts.StatusTooManyRequests, consts.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
