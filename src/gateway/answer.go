package gateway

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/engine"
)

// maxCollectedBytes limits the text that is collected for a client that asked for no stream: some million tokens.
const maxCollectedBytes = 4 << 20

// answerWriter writes the response to a completion request: an event stream, or
// a single JSON object once the answer is complete.
type answerWriter struct {
	c              *app.RequestContext
	path           string
	stream         bool
	requestedModel string
	id             string
	writer         *sse.Writer
	text           strings.Builder
	tokens         int
	finishReason   string
}

func newAnswerWriter(c *app.RequestContext, path string, stream bool, requestedModel, id string) *answerWriter {
	return &answerWriter{c: c, path: path, stream: stream, requestedModel: requestedModel, id: id}
}

// started reports whether anything was sent to the client.
func (a *answerWriter) started() bool { return a.writer != nil }

// full reports whether no more tokens may be collected.
func (a *answerWriter) full() bool { return a.text.Len() > maxCollectedBytes }

// token adds one token to the response.
func (a *answerWriter) token(t engine.Token) error {
	if !a.stream {
		return a.collect(t)
	}
	if a.writer == nil {
		a.writer = sse.NewWriter(a.c)
	}
	return a.writer.WriteEvent(strconv.FormatUint(t.ID, 10), "", t.Data)
}

// writeEnd completes the response.
func (a *answerWriter) writeEnd() error {
	if !a.stream {
		a.c.JSON(consts.StatusOK, a.response())
		return nil
	}
	if a.writer == nil {
		a.writer = sse.NewWriter(a.c)
	}
	if err := a.writer.WriteEvent("", "", []byte(engine.StreamEnd)); err != nil {
		return err
	}
	return a.writer.Close()
}

// abort ends a stream that can't be completed. It sends an error event and no
// end mark, so that the client does not mistake the part for the complete answer.
func (a *answerWriter) abort(refusal *Refusal) {
	body, err := json.Marshal(refusalBody{Error: refusal})
	if err == nil {
		_ = a.writer.WriteEvent("", "error", body)
	}
	_ = a.writer.Close()
}

// chunk is one event of a stream in the OpenAI-compatible interface.
type chunk struct {
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Text  string `json:"text"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason string `json:"finish_reason"`
}

func (a *answerWriter) collect(t engine.Token) error {
	var part chunk
	if err := json.Unmarshal(t.Data, &part); err != nil {
		return errors.Wrap(err, "an engine's event is not JSON")
	}
	for _, choice := range part.Choices {
		a.text.WriteString(choice.Text)
		a.text.WriteString(choice.Delta.Content)
		if choice.FinishReason != "" {
			a.finishReason = choice.FinishReason
		}
	}
	a.tokens++
	return nil
}

// completionResponse is a complete answer in the OpenAI-compatible interface.
type completionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         *string            `json:"text,omitempty"`
	Message      *completionMessage `json:"message,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (a *answerWriter) response() completionResponse {
	if a.finishReason == "" {
		a.finishReason = "stop"
	}
	text := a.text.String()
	response := completionResponse{ID: a.id, Model: a.requestedModel, Usage: completionUsage{CompletionTokens: a.tokens}}
	choice := completionChoice{FinishReason: a.finishReason}
	if a.path == engine.PathChat {
		response.Object = "chat.completion"
		choice.Message = &completionMessage{Role: "assistant", Content: text}
	} else {
		response.Object = "text_completion"
		choice.Text = &text
	}
	response.Choices = []completionChoice{choice}
	return response
}
