package main

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// bodyScene is a request cut off at the limit of a stop while its replica was at work, with its body sent over time:
// its head came before lastRequestTime and its last byte after it.
type bodyScene struct {
	signal time.Time
	result silenceResult
	run    *silentRun
}

func newBodyScene() *bodyScene {
	signal := time.Now()
	plan := bodyPlan{bytes: smallBodyBytes, duration: slowBodyTime}
	return &bodyScene{
		signal: signal,
		result: silenceResult{
			id: "q1", gateway: &member{name: "gateway-1"}, class: silenceClass{route: "unsafe", timeout: plainBodyTimeout, attempts: 1},
			sentAt: signal.Add(2 * time.Second), endedAt: signal.Add(7500 * time.Millisecond), dialed: true, stopping: true, signalAt: signal,
			body: &sentBody{plan: plan, lastByteAt: signal.Add(3200 * time.Millisecond)},
		},
		run: &silentRun{begun: signal.Add(3210 * time.Millisecond), bodyBytes: plan.bytes, cutAt: signal.Add(7500 * time.Millisecond)},
	}
}

// TestABodyOutcomeDependsOnItsLastByte checks what the end of a request counts as. A request whose head came by
// lastRequestTime and whose last byte came later must not be cut off at the limit of a stop.
func TestABodyOutcomeDependsOnItsLastByte(t *testing.T) {
	for _, test := range []struct {
		name    string
		change  func(s *bodyScene)
		outcome bodyOutcome
	}{
		{"the last byte after the time", func(*bodyScene) {}, bodyLostAtWork},
		{"a stream without its last event", func(s *bodyScene) { s.result.status = http.StatusOK }, bodyLostAtWork},
		{"a whole 502", func(s *bodyScene) { s.result.status, s.result.body.answered = http.StatusBadGateway, true }, bodyLostAtWork},
		{"the replica was done", func(s *bodyScene) {
			s.run.cutAt, s.run.done, s.run.lastAt = time.Time{}, true, s.signal.Add(7*time.Second)
		}, bodyLostDone},
		{"the last byte in time", func(s *bodyScene) { s.result.body.lastByteAt = s.signal.Add(lastRequestTime) }, bodyAtLimit},
		{"in time, before the last sixth", func(s *bodyScene) {
			s.result.body.lastByteAt, s.result.endedAt = s.signal.Add(lastRequestTime), s.signal.Add(6600*time.Millisecond)
		}, bodyLostAtWork},
		{"in time, at a gateway that does not stop", func(s *bodyScene) {
			s.result.body.lastByteAt, s.result.stopping = s.signal.Add(lastRequestTime), false
		}, bodyLostAtWork},
		{"in time, the replica was done", func(s *bodyScene) {
			s.result.body.lastByteAt = s.signal.Add(lastRequestTime)
			s.run.cutAt, s.run.done, s.run.lastAt = time.Time{}, true, s.signal.Add(7*time.Second)
		}, bodyLostDone},
		{"time over since the first byte", func(s *bodyScene) { s.result.class.timeout = 5700 * time.Millisecond }, bodyTimeOver},
		{"time left since the first byte", func(s *bodyScene) { s.result.class.timeout = 5800 * time.Millisecond }, bodyLostAtWork},
		{"a whole answer", func(s *bodyScene) { s.result.whole = true }, bodyWhole},
		{"refused", func(s *bodyScene) {
			s.run, s.result.status, s.result.body.answered = nil, http.StatusServiceUnavailable, true
		}, bodyRefused},
		{"refused and run", func(s *bodyScene) { s.result.status, s.result.body.answered = http.StatusServiceUnavailable, true }, bodyRefusedRun},
		{"a refusal that broke off", func(s *bodyScene) { s.run, s.result.status = nil, http.StatusServiceUnavailable }, bodyBrokenOff},
		{"run without its last byte", func(s *bodyScene) { s.result.body.lastByteAt = time.Time{} }, bodyCutShort},
		{"run with a part of its body", func(s *bodyScene) { s.run.bodyBytes-- }, bodyCutShort},
		{"read and closed later, never run", func(s *bodyScene) { s.run = nil }, bodyLostUnsent},
		{"closed as the last byte came, never run", func(s *bodyScene) { s.run, s.result.endedAt = nil, s.result.body.lastByteAt.Add(lossSlack) }, bodyUnanswered},
		{"closed before the last byte", func(s *bodyScene) { s.run, s.result.body.lastByteAt = nil, time.Time{} }, bodyUnread},
		{"reset before the last byte", func(s *bodyScene) {
			s.run, s.result.body.lastByteAt, s.result.body.reset = nil, time.Time{}, true
		}, bodyReset},
		{"504 without a run", func(s *bodyScene) {
			s.run, s.result.status, s.result.body.answered = nil, http.StatusGatewayTimeout, true
		}, bodyFailedUnrun},
		{"no connection", func(s *bodyScene) { s.result.dialed = false }, bodyNoConn},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newBodyScene()
			test.change(s)
			is.Equal(s.result.bodyOutcome(s.run, silenceStop), test.outcome)
		})
	}
}

// TestBodyCountsNameWhatIsLost checks the sums over the requests of a class.
func TestBodyCountsNameWhatIsLost(t *testing.T) {
	is := is.New(t)
	n := &bodyCount{outcomes: map[bodyOutcome]int{}, slowOutcomes: map[bodyOutcome]int{}}
	lost, refused, elsewhere := newBodyScene(), newBodyScene(), newBodyScene()
	refused.run, refused.result.status = nil, http.StatusServiceUnavailable
	refused.result.body.answered, refused.result.body.lastByteAt = true, time.Time{}
	elsewhere.result.stopping, elsewhere.result.body.plan.duration, elsewhere.result.status = false, 0, http.StatusBadGateway
	for _, s := range []*bodyScene{lost, refused, elsewhere} {
		n.add(&s.result, s.run, silenceStop)
	}
	is.Equal(n.outcomes, map[bodyOutcome]int{bodyLostAtWork: 2, bodyRefused: 1})
	is.Equal(n.slowOutcomes[bodyLostAtWork], 1)
	is.Equal([]int{n.sent, n.slow, n.refusedEarly, n.silentEnds, n.elsewhere}, []int{3, 2, 1, 1, 1})
	is.True(bodyLostAtWork.isNamed() && bodyLostDone.isNamed() && bodyLostUnsent.isNamed() && bodyRefusedRun.isNamed() && bodyCutShort.isNamed())
}
