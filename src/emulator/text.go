package emulator

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the n-th token that every emulated engine generates for a prompt. As tokens depend
// on the prompt, the load tool detects incomplete answers and answers to other requests.
func Token(name, prompt string, n uint64) string {
	hash := xxhash.Sum64String(name + "\x00" + prompt + "\x00" + strconv.FormatUint(n, 10))
	return strconv.FormatUint(hash%46656, 36) + " "
}

// Answer returns the complete answer with a number of tokens.
func Answer(name, prompt string, tokens int) string {
	var text strings.Builder
	for n := 1; n <= tokens; n++ {
		text.WriteString(Token(name, prompt, uint64(n)))
	}
	return text.String()
}

// completionCall is a completion request as the emulated engine parses it.
type completionCall struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// defaultTokens is the length of an answer if the request sets none.
const defaultTokens = 16

func parseCall(body []byte) (completionCall, error) {
	call := completionCall{MaxTokens: defaultTokens}
	if err := json.Unmarshal(body, &call); err != nil {
		return call, err
	}
	for _, message := range call.Messages {
		call.Prompt += message.Content
	}
	return call, nil
}

// streamChunk is a chunk of a completion stream in the OpenAI-compatible format.
type streamChunk struct {
	Object  string         `json:"object"`
	Model   string         `json:"model"`
	Choices []streamChoice `json:"choices"`
}

type streamChoice struct {
	Index int          `json:"index"`
	Text  string       `json:"text,omitempty"`
	Delta *streamDelta `json:"delta,omitempty"`
}

type streamDelta struct {
	Content string `json:"content"`
}

func encodeChunk(chat bool, name, word string) []byte {
	chunk := streamChunk{Object: "text_completion", Model: name, Choices: []streamChoice{{Text: word}}}
	if chat {
		chunk.Object = "chat.completion.chunk"
		chunk.Choices = []streamChoice{{Delta: &streamDelta{Content: word}}}
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		return nil
	}
	return data
}
