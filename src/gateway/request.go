package gateway

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/google/uuid"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/route"
	"github.com/moorspool/moorspool/src/service"
	"github.com/moorspool/moorspool/src/trace"
)

// The request headers of clients.
const (
	headerRequestID = engine.HeaderRequestID
	headerPriority  = engine.HeaderPriority
	headerDeadline  = engine.HeaderDeadline
	headerKey       = service.HeaderKey
	// headerOnce marks a call that must not be repeated.
	headerOnce = engine.HeaderOnce
)

// Limits of client requests.
const (
	maxPriority  = 9
	maxDeadline  = time.Hour
	maxHeaderLen = 256
	// prefixHashBytes is the length of the prompt prefix by which requests are
	// routed to hosts that may have it in their KV cache.
	prefixHashBytes = 512
)

// request is a parsed client request.
type request struct {
	id       string
	started  time.Time
	priority int
	deadline time.Time
	// once is set if the request must not be repeated; key is its idempotency key,
	// empty for none.
	once         bool
	key          string
	trace        string
	requirements route.Requirements
	path         string
	body         []byte
	stream       bool
	// requestedModel is the name in the request, which may be a label.
	requestedModel string
	// prefix is a hash of the start of the prompt.
	prefix  uint64
	target  config.Target
	tried   route.Tried
	retries int
	// answerStarted is set once part of the answer was sent to the client.
	answerStarted bool
}

// readHeaders parses the headers that are common to all requests. It returns a
// request with an id even when it returns a refusal.
func readHeaders(c *app.RequestContext, now time.Time) (*request, *Refusal) {
	r := &request{started: now, id: string(c.GetHeader(headerRequestID)), trace: string(c.GetHeader(trace.Header))}
	if r.id == "" {
		r.id = uuid.NewString()
	}
	if !isPrintable(r.id) {
		r.id = uuid.NewString()
		return r, r.badRequest(headerRequestID + " must be 1 to 256 printable characters without spaces")
	}
	if value := string(c.GetHeader(headerPriority)); value != "" {
		priority, err := strconv.Atoi(value)
		if err != nil || priority < 0 || priority > maxPriority {
			return r, r.badRequest(headerPriority + " must be a whole number from 0 to 9")
		}
		r.priority = priority
	}
	if value := string(c.GetHeader(headerDeadline)); value != "" {
		ms, err := strconv.ParseInt(value, 10, 64)
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return r, r.badRequest(headerDeadline + " must be milliseconds from 1 to 3600000")
		}
		r.deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}
	if value := string(c.GetHeader(headerOnce)); value != "" {
		once, err := strconv.ParseBool(value)
		if err != nil {
			return r, r.badRequest(headerOnce + " must be true or false")
		}
		r.once = once
	}
	r.key = string(c.GetHeader(headerKey))
	if r.key != "" && !isPrintable(r.key) {
		return r, r.badRequest(headerKey + " must be 1 to 256 printable characters without spaces")
	}
	return r, nil
}

func isPrintable(value string) bool {
	if len(value) > maxHeaderLen {
		return false
	}
	for i := 0; i < len(value); i++ {
		if value[i] <= ' ' || value[i] > '~' {
			return false
		}
	}
	return true
}

func (r *request) badRequest(message string) *Refusal {
	return r.refuse(consts.StatusBadRequest, ReasonBadRequest, DidNotRun, message)
}

func (r *request) refuse(status int, reason Reason, notRun NotRun, message string) *Refusal {
	refusal := refuse(status, reason, notRun, message)
	refusal.Request = r.id
	return refusal
}

// completionBody holds the fields of a completion request that the gateway reads.
type completionBody struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

// readCompletion parses the body of a completion request and resolves its model name.
func (r *request) readCompletion(body []byte, set *config.Set) *Refusal {
	var fields map[string]json.RawMessage
	var parsed completionBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return r.badRequest("the body is not the JSON of a completion: " + err.Error())
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return r.badRequest("the body is not a JSON object: " + err.Error())
	}
	if parsed.Model == "" {
		return r.badRequest("the body names no model")
	}
	if len(parsed.Prompt) == 0 && len(parsed.Messages) == 0 {
		return r.badRequest("the body has neither messages nor a prompt")
	}
	resolved, found := set.Resolve(parsed.Model)
	if !found {
		return r.refuse(consts.StatusNotFound, ReasonUnknownModel, DidNotRun, "there is no model, adapter or label "+strconv.Quote(parsed.Model))
	}
	r.requestedModel = parsed.Model
	r.stream = parsed.Stream
	r.requirements = route.Requirements{Model: resolved.Model(), Adapter: resolved.Adapter()}
	r.target = set.Model(resolved.Model()).Target
	prompt := parsed.Messages
	if len(prompt) == 0 {
		prompt = parsed.Prompt
	}
	r.prefix = prefixHash(r.requirements, prompt)
	return r.rewriteBody(fields)
}

// rewriteBody builds the body that is sent to engines. It has the resolved model
// name and always requests a stream, so that a broken answer can be resumed on
// another host.
func (r *request) rewriteBody(fields map[string]json.RawMessage) *Refusal {
	name := r.requirements.Model
	if r.requirements.Adapter != "" {
		name = r.requirements.Adapter
	}
	quoted, err := json.Marshal(name)
	if err != nil {
		return r.badRequest("the model's name can't be written as JSON")
	}
	fields["model"] = quoted
	fields["stream"] = json.RawMessage("true")
	if r.body, err = json.Marshal(fields); err != nil {
		return r.badRequest("the body can't be written as JSON: " + err.Error())
	}
	return nil
}

func prefixHash(requirements route.Requirements, prompt []byte) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(requirements.Model)
	_, _ = hash.WriteString(requirements.Adapter)
	_, _ = hash.Write(prompt[:min(len(prompt), prefixHashBytes)])
	return hash.Sum64()
}
