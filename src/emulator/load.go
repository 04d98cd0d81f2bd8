package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/engine"
	"github.com/moorspool/moorspool/src/service"
)

// Time limits and defaults of the load tool.
const (
	tokenTimeout  = 15 * time.Second
	settleTimeout = 20 * time.Second
	namesTimeout  = 20 * time.Second
	// defaultTries is the maximum number of attempts of a request where the experiment sets none.
	defaultTries = 4
)

// Loader generates an experiment's load as an open loop: each request starts when it is due, however
// long others take, and its latency is measured from then.
type Loader struct {
	experiment Experiment
	balancer   *balancer
	streams    *engine.StreamClient
	plain      *service.Client
	random     *rand.Rand
	names      []string
	tally      *Tally
	running    sync.WaitGroup
}

// NewLoader returns a loader for an experiment.
func NewLoader(e Experiment) (*Loader, error) {
	b, err := newBalancer(e.Gateways)
	if err != nil {
		return nil, err
	}
	streams, err := engine.NewStreamClient(nil, tokenTimeout)
	if err != nil {
		return nil, err
	}
	plain, err := service.New(nil, tokenTimeout)
	if err != nil {
		return nil, err
	}
	return &Loader{
		experiment: e,
		balancer:   b,
		streams:    streams,
		plain:      plain,
		random:     rand.New(rand.NewPCG(e.Seed, e.Seed)),
		tally:      NewTally(e.Target),
	}, nil
}

// Run generates the load, waits for the last answers, collects the emulators' counters and returns
// the result.
func (l *Loader) Run(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go l.balancer.run(ctx)
	if err := l.waitForNames(ctx); err != nil {
		return Result{}, err
	}
	l.startRequests(ctx)
	done := make(chan struct{})
	go func() {
		l.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(settleTimeout):
		cancel()
		<-done
	}
	return l.result(), nil
}

type listedModel struct {
	ID    string `json:"id"`
	Ready bool   `json:"ready"`
}

type listedModels struct {
	Data []listedModel `json:"data"`
}

// waitForNames polls a gateway for the list of models until every one is ready.
func (l *Loader) waitForNames(ctx context.Context) error {
	until := time.Now().Add(namesTimeout)
	for time.Now().Before(until) && ctx.Err() == nil {
		sleep(ctx, balancerInterval)
		body, err := l.balancer.get(ctx, l.balancer.pick(l.random), "/v1/models")
		if err != nil {
			continue
		}
		var list listedModels
		if err := json.Unmarshal(body, &list); err != nil || len(list.Data) == 0 {
			continue
		}
		l.names = l.names[:0]
		for _, model := range list.Data {
			if model.Ready {
				l.names = append(l.names, model.ID)
			}
		}
		if len(l.names) == len(list.Data) {
			return nil
		}
	}
	if len(l.names) == 0 {
		return errors.New("no gateway lists a ready model")
	}
	return errors.Errorf("only %d names are ready", len(l.names))
}

// startRequests starts requests at random times, at the experiment's mean rate.
func (l *Loader) startRequests(ctx context.Context) {
	began := time.Now()
	due := time.Duration(0)
	for {
		rate := l.experiment.Rate
		burst, inBurst := l.burst(due)
		if inBurst {
			rate *= l.experiment.Bursts.Factor
		}
		due += time.Duration(l.random.ExpFloat64() / rate * float64(time.Second))
		if due > l.experiment.Duration.Std() || !sleep(ctx, time.Until(began.Add(due))) {
			return
		}
		l.start(ctx, began.Add(due), burst, inBurst)
	}
}

// burst returns the number of the burst interval that contains a time, and whether the time is
// within the burst.
func (l *Loader) burst(at time.Duration) (int, bool) {
	b := l.experiment.Bursts
	if b.Every <= 0 {
		return 0, false
	}
	number := int(at / b.Every.Std())
	return number, at%b.Every.Std() >= b.Every.Std()-b.Length.Std()
}

// name draws the name of a model, adapter or label by popularity; half of a burst's requests draw
// from three names.
func (l *Loader) name(burst int, inBurst bool) string {
	n := len(l.names)
	if inBurst && l.random.IntN(2) == 0 {
		return l.names[(burst*7+l.random.IntN(3))%n]
	}
	at := int(math.Pow(l.random.Float64(), 1+l.experiment.Skew) * float64(n))
	return l.names[min(at, n-1)]
}

func (l *Loader) start(ctx context.Context, due time.Time, burst int, inBurst bool) {
	draw := l.random.Float64()
	clientRequest := clientRequest{loader: l, due: due, id: uuid.NewString(), random: rand.New(rand.NewPCG(l.random.Uint64(), 1))}
	clientRequest.prompt = fmt.Sprintf("request %s of group %d", clientRequest.id[:8], l.random.IntN(40))
	run := clientRequest.complete
	switch s := l.experiment.Service; {
	case draw < s.Lookup:
		run = clientRequest.lookUp
	case draw < s.Lookup+s.Register:
		run = clientRequest.register
	default:
		clientRequest.name = l.name(burst, inBurst)
		clientRequest.unstreamed = l.random.Float64() < l.experiment.Unstreamed
	}
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		run(ctx)
	}()
}

// clientRequest is one request of a client with its retries.
type clientRequest struct {
	loader     *Loader
	due        time.Time
	id         string
	name       string
	prompt     string
	unstreamed bool
	random     *rand.Rand
}

type completionRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

// attemptID returns the ID of one attempt, by which the emulators count runs.
func (r *clientRequest) attemptID(n int) string { return fmt.Sprintf("%s.%d", r.id, n) }

// complete requests a completion. As a client would, it retries through the balancer after a refusal
// that says that the request did not run.
func (r *clientRequest) complete(ctx context.Context) {
	for n := 1; ; n++ {
		outcome := r.completeOnce(ctx, r.attemptID(n))
		r.loader.tally.add(r.attemptID(n), outcome)
		if outcome.kind != refusedNotRun || n >= r.loader.experiment.Tries {
			r.loader.tally.finish(outcome)
			return
		}
		sleep(ctx, time.Duration(100+r.random.IntN(200))*time.Millisecond)
	}
}

func (r *clientRequest) completeOnce(ctx context.Context, id string) outcome {
	l := r.loader
	body, err := json.Marshal(completionRequest{Model: r.name, Stream: !r.unstreamed, MaxTokens: l.experiment.Tokens, Messages: []chatMessage{{Role: "user", Content: r.prompt}}})
	if err != nil {
		return outcome{kind: lost, reason: err.Error()}
	}
	address := l.balancer.pick(r.random)
	if address == "" {
		return outcome{kind: refusedNotRun, reason: "the balancer has no gateway"}
	}
	if r.unstreamed {
		return r.completeUnstreamed(ctx, address, id, body)
	}
	stream, err := l.streams.Open(ctx, address, engine.Request{Path: engine.PathChat, Body: body, ID: id, Deadline: l.experiment.Deadline.Std()})
	if err != nil {
		return refusalOutcome(err)
	}
	defer stream.Close()
	return r.read(stream)
}

func refusalOutcome(err error) outcome {
	var failure *engine.Failure
	if errors.As(err, &failure) && failure.NotRun {
		return outcome{kind: refusedNotRun, reason: err.Error()}
	}
	if failure != nil && failure.Status != 0 {
		return outcome{kind: refusedUnknown, reason: err.Error()}
	}
	return outcome{kind: lost, reason: err.Error()}
}

// read reads a stream and compares it with the tokens that the emulated engines generate.
func (r *clientRequest) read(stream *engine.Stream) outcome {
	var text strings.Builder
	o := outcome{kind: complete}
	var lastAt time.Time
	for {
		token, err := stream.Next()
		now := time.Now()
		if errors.Is(err, io.EOF) {
			break
		}
		if errors.Is(err, engine.ErrAborted) {
			return outcome{kind: brokenOff, reason: err.Error()}
		}
		if err != nil {
			return outcome{kind: lost, reason: err.Error()}
		}
		if o.tokens == 0 {
			o.first = now.Sub(r.due)
		} else {
			o.longestGap = max(o.longestGap, now.Sub(lastAt))
			o.between += now.Sub(lastAt)
		}
		lastAt = now
		o.tokens++
		var part streamChunk
		if err := json.Unmarshal(token.Data, &part); err != nil || len(part.Choices) == 0 || part.Choices[0].Delta == nil {
			return outcome{kind: mixed, reason: "an event is not a chunk"}
		}
		text.WriteString(part.Choices[0].Delta.Content)
	}
	return r.compare(o, text.String())
}

func (r *clientRequest) compare(o outcome, text string) outcome {
	want := Answer(r.name, r.prompt, r.loader.experiment.Tokens)
	switch {
	case text == want:
		return o
	case strings.HasPrefix(want, text):
		o.kind, o.reason = lost, "the answer is not whole"
	default:
		o.kind, o.reason = mixed, "the answer is another's"
	}
	return o
}

type completionResponse struct {
	Choices []struct {
		Message chatMessage `json:"message"`
	} `json:"choices"`
}

func (r *clientRequest) completeUnstreamed(ctx context.Context, address, id string, body []byte) outcome {
	answer, err := r.loader.plain.Do(ctx, address, service.Call{Method: consts.MethodPost, Path: engine.PathChat, ContentType: "application/json", Body: body, ID: id})
	if o, ok := plainOutcome(answer, err); !ok {
		return o
	}
	var in completionResponse
	if err := json.Unmarshal(answer.Body, &in); err != nil || len(in.Choices) != 1 {
		return outcome{kind: mixed, reason: "the answer is not a completion"}
	}
	return r.compare(outcome{kind: complete, unstreamed: true, first: time.Since(r.due)}, in.Choices[0].Message.Content)
}

// plainOutcome returns the outcome of a failed or refused call; it reports true if the call was
// answered with status 200.
func plainOutcome(answer service.Answer, err error) (outcome, bool) {
	var failure *service.Failure
	switch {
	case errors.As(err, &failure) && failure.NotRun:
		return outcome{kind: refusedNotRun, reason: err.Error()}, false
	case err != nil:
		return outcome{kind: lost, reason: err.Error()}, false
	case answer.Status != consts.StatusOK:
		return outcome{kind: refusedUnknown, reason: fmt.Sprintf("%d %s", answer.Status, answer.Body)}, false
	}
	return outcome{}, true
}

// lookUp requests a record from the plain service; such a call may run more than once.
func (r *clientRequest) lookUp(ctx context.Context) {
	r.call(ctx, consts.MethodGet, "/records/"+r.id, "")
}

// register submits a form to the plain service under an idempotency key; it must run at most once.
func (r *clientRequest) register(ctx context.Context) {
	r.call(ctx, consts.MethodPost, "/register", r.id)
}

func (r *clientRequest) call(ctx context.Context, method, path, key string) {
	l := r.loader
	for n := 1; ; n++ {
		o := r.callOnce(ctx, method, path, key, r.attemptID(n))
		l.tally.add(r.attemptID(n), o)
		if o.kind != refusedNotRun || n >= r.loader.experiment.Tries {
			o.once = key != ""
			l.tally.finish(o)
			return
		}
		sleep(ctx, time.Duration(100+r.random.IntN(200))*time.Millisecond)
	}
}

func (r *clientRequest) callOnce(ctx context.Context, method, path, key, id string) outcome {
	address := r.loader.balancer.pick(r.random)
	if address == "" {
		return outcome{kind: refusedNotRun, reason: "the balancer has no gateway"}
	}
	call := service.Call{Method: method, Path: "/services/" + r.loader.experiment.Service.Name + path, ID: id, Key: key}
	if key != "" {
		call.Body = []byte(r.prompt)
		call.ContentType = "text/plain"
		call.AtMostOnce = true
	}
	answer, err := r.loader.plain.Do(ctx, address, call)
	if o, ok := plainOutcome(answer, err); !ok {
		return o
	}
	var echo plainAnswer
	if err := json.Unmarshal(answer.Body, &echo); err != nil || echo.Request != id || echo.Path != path || echo.Echo != string(call.Body) {
		return outcome{kind: mixed, reason: "the answer is another's"}
	}
	return outcome{kind: complete, unstreamed: true, first: time.Since(r.due)}
}

// result collects the emulators' counters and returns the result.
func (l *Loader) result() Result {
	ctx, cancel := context.WithTimeout(context.Background(), tokenTimeout)
	defer cancel()
	var all []Stats
	for _, address := range l.experiment.Emulators {
		body, err := l.balancer.get(ctx, address, PathStats)
		var stats Stats
		if err == nil && json.Unmarshal(body, &stats) == nil {
			all = append(all, stats)
		}
	}
	return l.tally.result(all, len(l.experiment.Emulators), l.experiment.Accelerators)
}
