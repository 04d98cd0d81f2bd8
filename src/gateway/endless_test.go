package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/cuttest"
	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/wire"
)

const (
	// maxEndlessAllocs is what the gateway may allocate for a request whose backend server sends without end, and
	// maxEndlessSent what that may get rid of: six times and twice the longest answer that is kept, in each of three attempts.
	maxEndlessAllocs = 3 * 6 * 16 << 20
	maxEndlessSent   = 3 * 2 * 16 << 20
	// maxEndlessTime is how long such a request may take: no other limit of time is set in these tests.
	maxEndlessTime = 8 * time.Second
)

// addEndless adds a host whose answers do not end, for plain services and for completions.
func (b *testGateway) addEndless(name string, answer cuttest.Endless) *cuttest.EndlessServer {
	b.t.Helper()
	server := cuttest.NewEndlessServer(b.t, answer)
	b.addRoute(wire.HostRoute{Host: name, Pool: "desk", Zone: "a", Address: server.Address, State: wire.HostLive, Slots: 64,
		Models: []wire.ModelRoute{{Model: "m", Version: "v1"}}})
	return server
}

// testEndless sends a request to a gateway whose only host gives an answer without end.
func testEndless(t *testing.T, answer cuttest.Endless, path, body string, wholeAnswer func(rawAnswer) bool) {
	t.Helper()
	b := newTestGateway(t)
	server := b.addEndless("endless", answer)
	began := time.Now()
	var got rawAnswer
	allocs := cuttest.Allocated(func() { got = b.askRaw("HTTP/1.1", path, body) })
	if wholeAnswer(got) || server.Requests() == 0 {
		t.Errorf("status %d, %d bytes, %v", got.status, len(got.body), got.err)
	}
	if allocs > maxEndlessAllocs || server.Sent() > maxEndlessSent {
		t.Errorf("%d MB allocated, %d are allowed; %d MB sent, %d are allowed", allocs>>20, maxEndlessAllocs>>20, server.Sent()>>20, maxEndlessSent>>20)
	}
	if took := time.Since(began); took > maxEndlessTime {
		t.Errorf("it took %v", took)
	}
}

func isWhole(got rawAnswer) bool { return got.err == nil && got.status == http.StatusOK }

// TestPlainAnswersWithoutEndAreCutOff: the gateway kept all that a backend server sent.
func TestPlainAnswersWithoutEndAreCutOff(t *testing.T) {
	bodies := map[string][]cuttest.Endless{
		"head":      cuttest.EndlessHeads(),
		"success":   cuttest.EndlessBodies("200 OK", "", "x"),
		"failure":   cuttest.EndlessBodies("500 X", "", "x"),
		"rejection": cuttest.EndlessBodies("503 X", engine.HeaderNotRun+": true\r\n", "x"),
	}
	for kind, answers := range bodies {
		for _, answer := range answers {
			t.Run(kind+" "+answer.Name, func(t *testing.T) {
				testEndless(t, answer, "/services/desk/register", "form", isWhole)
				testEndless(t, answer, "/services/desk/read", "form", isWhole)
			})
		}
	}
}

// TestStreamsWithoutEndAreCutOff: the gateway kept all that an engine sent as one event, or as the reason of a refusal.
func TestStreamsWithoutEndAreCutOff(t *testing.T) {
	const stream = "Content-Type: text/event-stream\r\n"
	bodies := map[string][]cuttest.Endless{
		"head":              cuttest.EndlessHeads(),
		"line":              cuttest.EndlessBodies("200 OK", stream, "x"),
		"lines of an event": cuttest.EndlessBodies("200 OK", stream, "data: x\n")[:3],
		"comments":          cuttest.EndlessBodies("200 OK", stream, ": x\n")[:3],
		"empty lines":       cuttest.EndlessBodies("200 OK", stream, "\n")[:3],
		"not a stream":      cuttest.EndlessBodies("200 OK", "Content-Type: text/plain\r\n", "x"),
		"failure":           cuttest.EndlessBodies("500 X", "", "x"),
		"rejection":         cuttest.EndlessBodies("503 X", engine.HeaderNotRun+": true\r\n", "x"),
		"missing model":     cuttest.EndlessBodies("404 X", engine.HeaderNotRun+": true\r\n", "x"),
	}
	for kind, answers := range bodies {
		for _, answer := range answers {
			for name, body := range map[string]string{
				"stream":       `{"model":"m","prompt":"p","max_tokens":2,"stream":true}`,
				"whole answer": `{"model":"m","prompt":"p","max_tokens":2}`,
			} {
				t.Run(kind+" "+answer.Name+", "+name, func(t *testing.T) {
					testEndless(t, answer, engine.PathCompletions, body, func(got rawAnswer) bool { return isWhole(got) && name == "whole answer" })
				})
			}
		}
	}
}

// TestAnAnswerOfTokensWithoutEndIsCutOff: a client that asked for no stream had all tokens collected for it.
func TestAnAnswerOfTokensWithoutEndIsCutOff(t *testing.T) {
	is := is.New(t)
	const maxTokens = 8192
	data := fmt.Appendf(nil, `{"choices":[{"text":%q}]}`, strings.Repeat("w", 32<<10))
	var sent atomic.Int64
	b := newTestGateway(t)
	b.fakeHost("endless", func(h *server.Hertz) {
		h.POST(engine.PathCompletions, func(_ context.Context, c *app.RequestContext) {
			from, _ := strconv.Atoi(string(c.GetHeader(engine.HeaderResumeFrom)))
			w := sse.NewWriter(c)
			for n := from + 1; n <= maxTokens; n++ {
				if w.WriteEvent(strconv.Itoa(n), "", data) != nil {
					return
				}
				sent.Add(int64(len(data)))
			}
		})
	})
	got := b.askRaw("HTTP/1.1", engine.PathCompletions, `{"model":"m","prompt":"p","max_tokens":2}`)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusBadGateway)
	is.True(sent.Load() < maxEndlessSent)
}
