package main

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lostScene is an answer that ended early after 1.5 s, and its run by a sound replica that is at work until
// 2 s after the request was sent.
type lostScene struct {
	start   time.Time
	checks  *lostChecks
	strikes strikeLog
	rep     *replica
	run     *replicaRun
	answer  endedAnswer
	stop    plannedStop
}

func newLostScene() *lostScene {
	start := time.Now()
	s := &lostScene{start: start, checks: &newChecker().lost, rep: &replica{id: "i-001", pause: newPause()}, stop: defaultStop}
	s.run = s.checks.beginRun("q1", s.rep, "gateway-2", start.Add(5*time.Millisecond))
	s.run.begunAt, s.run.endedAt = start.Add(10*time.Millisecond), start.Add(2*time.Second)
	s.answer = endedAnswer{id: "q1", kind: "e", gateway: "gateway-1", firstByteAt: start, lastByteAt: start, endedAt: start.Add(1500 * time.Millisecond), status: http.StatusOK}
	return s
}

// strike records a strike of a gateway that begins and ends at times after the request was sent.
func (s *lostScene) strike(gateway, name string, planned bool, from, to time.Duration) {
	s.strikes.begin(gateway, name, planned)
	all := s.strikes.byName[gateway]
	added := all[len(all)-1]
	added.from = s.start.Add(from)
	if to != 0 {
		added.to = s.start.Add(to)
	}
}

// TestAnswerThatNothingEndedIsLost checks what is a finding.
func TestAnswerThatNothingEndedIsLost(t *testing.T) {
	for name, change := range map[string]func(s *lostScene){
		"broken off while its replica is at work": func(*lostScene) {},
		"no answer":                  func(s *lostScene) { s.answer.status = 0 },
		"502 before the deadline":    func(s *lostScene) { s.answer.status = http.StatusBadGateway },
		"504 before the deadline":    func(s *lostScene) { s.answer.status = http.StatusGatewayTimeout },
		"the run is still under way": func(s *lostScene) { s.run.endedAt = time.Time{} },
		"the run was cut before the client's end": func(s *lostScene) {
			s.run.cut, s.run.endedAt = true, s.answer.endedAt.Add(-time.Millisecond)
		},
		"the run began when its replica went on": func(s *lostScene) { s.run.begunAt = s.answer.endedAt.Add(time.Second) },
		"the replica had written all of it":      func(s *lostScene) { s.run.endedAt = s.start.Add(time.Second) },
		"without a length or chunks while its replica is at work": func(s *lostScene) {
			s.checks.recordUnframed(s.run)
		},
		"the replica ended later": func(s *lostScene) {
			s.rep.goneAt = s.answer.endedAt.Add(time.Millisecond)
		},
		"it had reached a replica that ended before": func(s *lostScene) {
			s.checks.recordArrival("q1", &replica{id: "i-002", goneAt: s.start.Add(time.Second)}, s.start)
			s.checks.recordArrival("q1", s.rep, s.run.arrivedAt)
		},
		"it had reached a replica that ended later": func(s *lostScene) {
			s.checks.recordArrival("q1", &replica{id: "i-002", goneAt: s.answer.endedAt.Add(time.Millisecond)}, s.start.Add(time.Second))
		},
		"an earlier run broke off": func(s *lostScene) {
			s.checks.recordBrokenOff(s.run)
			s.run = s.checks.beginRun("q1", s.rep, "gateway-2", s.start.Add(time.Second))
		},
		"an earlier run's replica ended": func(s *lostScene) {
			s.rep.goneAt = s.start
			s.run = s.checks.beginRun("q1", &replica{id: "i-002", pause: newPause()}, "gateway-2", s.start.Add(time.Second))
		},
		"its gateway is told to stop":     func(s *lostScene) { s.strike("gateway-1", "stop", true, -time.Second, 0) },
		"its sender is told to stop":      func(s *lostScene) { s.strike("gateway-2", "stop", true, time.Second, 0) },
		"another gateway is killed":       func(s *lostScene) { s.strike("gateway-3", "kill", false, 0, 0) },
		"a strike ended before":           func(s *lostScene) { s.strike("gateway-1", "reset", false, -time.Second, -time.Millisecond) },
		"a strike began after":            func(s *lostScene) { s.strike("gateway-1", "kill", false, 1501*time.Millisecond, 0) },
		"the replica is paused meanwhile": func(s *lostScene) { s.rep.pause.begin(true) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newLostScene()
			change(s)
			s.checks.recordAnswer(s.answer, false)
			is.Equal(len(s.checks.findings(&s.strikes, s.stop, io.Discard)), 1)
			is.Equal(s.checks.lost, 1)
		})
	}
}

// TestAnswerThatSomethingEndedIsNotLost checks what explains the early end of an answer.
func TestAnswerThatSomethingEndedIsNotLost(t *testing.T) {
	for _, test := range []struct {
		cause  string
		change func(s *lostScene)
	}{
		{"did not run", func(s *lostScene) { s.answer.id = "q2" }},
		{"deadline", func(s *lostScene) { s.answer.endedAt = s.start.Add(requestDeadline) }},
		{"broken off by the replica", func(s *lostScene) { s.checks.recordBrokenOff(s.run) }},
		{"broken off by the replica", func(s *lostScene) {
			s.checks.recordBrokenOff(s.run)
			// A paused replica reads what was sent to it before.
			s.checks.beginRun("q1", &replica{id: "i-002", pause: newPause()}, "gateway-2", s.start)
		}},
		{"end of a replica that had not begun", func(s *lostScene) {
			s.checks.recordArrival("q1", &replica{id: "i-002", goneAt: s.start.Add(time.Second)}, s.start.Add(time.Second))
		}},
		{"end of the replica", func(s *lostScene) { s.rep.goneAt = s.start.Add(time.Second) }},
		{"no proof of its end", func(s *lostScene) {
			s.checks.recordUnframed(s.run)
			s.run.endedAt = s.start.Add(time.Second)
		}},
		{"kill", func(s *lostScene) { s.strike("gateway-1", "kill", false, time.Second, 0) }},
		{"pause", func(s *lostScene) { s.strike("gateway-2", "pause", false, -time.Second, time.Second) }},
		{"links", func(s *lostScene) { s.strike("gateway-2", "links", false, time.Second, 0) }},
		{"stop", func(s *lostScene) {
			s.strike("gateway-1", "stop", true, -4*time.Second, 0)
			s.strikes.byName["gateway-1"][0].from = s.answer.endedAt.Add(-5100 * time.Millisecond)
			s.answer.firstByteAt = s.answer.endedAt.Add(-2500 * time.Millisecond)
			s.answer.lastByteAt = s.answer.firstByteAt
		}},
	} {
		t.Run(test.cause, func(t *testing.T) {
			is := is.New(t)
			s := newLostScene()
			test.change(s)
			s.checks.recordAnswer(s.answer, false)
			is.Equal(len(s.checks.findings(&s.strikes, s.stop, io.Discard)), 0)
			is.Equal(s.checks.causes, map[string]int{test.cause: 1})
		})
	}
}

// TestLateRequestIsNotEndedByTheLimitOfAStop: only requests sent up to lastRequestTime after the signal may be
// ended at the limit.
func TestLateRequestIsNotEndedByTheLimitOfAStop(t *testing.T) {
	is := is.New(t)
	s := newLostScene()
	s.strike("gateway-1", "stop", true, -lastRequestTime-time.Millisecond, 0)
	s.answer.endedAt = s.start.Add(2500 * time.Millisecond)
	s.run.endedAt = s.start.Add(3 * time.Second)
	s.checks.recordAnswer(s.answer, false)
	is.Equal(len(s.checks.findings(&s.strikes, s.stop, io.Discard)), 1)
}

// TestWholeAnswersAndRefusalsAreNoEarlyEnds checks which answers are looked at.
func TestWholeAnswersAndRefusalsAreNoEarlyEnds(t *testing.T) {
	for _, test := range []struct {
		status  int
		whole   bool
		checked bool
	}{
		{http.StatusOK, true, false},
		{http.StatusOK, false, true},
		{0, false, true},
		{http.StatusServiceUnavailable, true, false},
		{http.StatusTooManyRequests, true, false},
		{http.StatusUnauthorized, true, false},
		{http.StatusBadGateway, true, true},
		{http.StatusGatewayTimeout, true, true},
	} {
		is := is.New(t)
		checks := &newChecker().lost
		checks.recordAnswer(endedAnswer{status: test.status}, test.whole)
		is.Equal(len(checks.answers) == 1, test.checked)
	}
}

// TestARequestSentWholeTooLateIsNotEndedByTheLimitOfAStop guards against judging a request by its first byte: its head may
// come by lastRequestTime after the signal and its last byte later.
func TestARequestSentWholeTooLateIsNotEndedByTheLimitOfAStop(t *testing.T) {
	const limitShare = 5500 * time.Millisecond
	for _, test := range []struct {
		name                  string
		firstByte, lastByte   time.Duration
		ended                 time.Duration
		unsent, stopped, lost bool
	}{
		{"both in time", time.Second, lastRequestTime, limitShare, false, true, false},
		{"the last byte too late", time.Second, lastRequestTime + time.Millisecond, limitShare, false, true, true},
		{"the last byte never sent", time.Second, 0, limitShare, true, true, true},
		{"in time, before the last sixth", time.Second, lastRequestTime, 5 * time.Second, false, true, true},
		{"the last byte too late, a kill", time.Second, lastRequestTime + time.Millisecond, limitShare, false, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newLostScene()
			s.strike("gateway-1", "strike", test.stopped, 0, 0)
			s.answer.deadline = workDeadline
			s.answer.firstByteAt, s.answer.lastByteAt = s.start.Add(test.firstByte), s.start.Add(test.lastByte)
			if test.unsent {
				s.answer.lastByteAt = time.Time{}
			}
			s.answer.endedAt, s.run.endedAt = s.start.Add(test.ended), s.start.Add(test.ended)
			s.run.cut = true
			s.checks.recordAnswer(s.answer, false)
			is.Equal(len(s.checks.findings(&s.strikes, s.stop, io.Discard)) == 1, test.lost)
		})
	}
}

// TestTheTimeForAnAnswerIsThatOfItsRequest: an end at requestDeadline must not be excused if the request has more time.
func TestTheTimeForAnAnswerIsThatOfItsRequest(t *testing.T) {
	is := is.New(t)
	s := newLostScene()
	s.answer.endedAt, s.run.endedAt = s.start.Add(requestDeadline), s.start.Add(workDeadline)
	s.answer.deadline = workDeadline
	is.Equal(s.answer.timeOver(), false)
	s.checks.recordAnswer(s.answer, false)
	is.Equal(len(s.checks.findings(&s.strikes, s.stop, io.Discard)), 1)
	s.answer.endedAt = s.start.Add(workDeadline - deadlineSlack)
	is.True(s.answer.timeOver())
}

// TestTheRunThatOutlastsAnAbortedOneCounts: of two attempts that are under way at once, the one that was sent last may be
// aborted as the other one is answered.
func TestTheRunThatOutlastsAnAbortedOneCounts(t *testing.T) {
	for _, test := range []struct {
		name string
		// aborted is when the later run was cut, ended when the first one ended, 0 for not yet, both after the start.
		aborted, ended time.Duration
		stamp          string
		brokeOff       bool
		lost           bool
	}{
		{"broken off by the replica that was answered", time.Second, 1500 * time.Millisecond, "i-001.q1", true, false},
		{"the same, not broken off by it", time.Second, 1500 * time.Millisecond, "i-001.q1", false, true},
		{"the replica that was answered is at work", time.Second, 0, "i-001.q1", false, true},
		{"the later one went on with what the first one broke off", time.Second, 500 * time.Millisecond, "i-001.q1", true, true},
		{"nobody knows who was answered", time.Second, 1500 * time.Millisecond, "", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newLostScene()
			s.run.brokeOff, s.run.endedAt = test.brokeOff, s.start.Add(test.ended)
			if test.ended == 0 {
				s.run.endedAt = time.Time{}
			}
			later := s.checks.beginRun("q1", &replica{id: "i-002", pause: newPause()}, "gateway-1", s.start.Add(800*time.Millisecond))
			later.cut, later.endedAt = true, s.start.Add(test.aborted)
			s.answer.stamp = test.stamp
			s.checks.recordAnswer(s.answer, false)
			is.Equal(len(s.checks.findings(&s.strikes, s.stop, io.Discard)) == 1, test.lost)
		})
	}
}

// TestABodyIsJudgedByTheRunThatItsStampNames: an aborted replica may have written its whole answer for nobody.
func TestABodyIsJudgedByTheRunThatItsStampNames(t *testing.T) {
	for _, unframed := range []bool{true, false} {
		t.Run(fmt.Sprint("without a proof of its end ", unframed), func(t *testing.T) {
			is := is.New(t)
			s := newLostScene()
			s.run.unframed, s.run.endedAt = unframed, s.start.Add(time.Second)
			later := s.checks.beginRun("q1", &replica{id: "i-002", pause: newPause()}, "gateway-1", s.start.Add(800*time.Millisecond))
			later.endedAt = s.start.Add(time.Second)
			s.answer.kind, s.answer.stamp = "l", "i-001.q1"
			s.checks.recordAnswer(s.answer, false)
			is.Equal(len(s.checks.findings(&s.strikes, s.stop, io.Discard)) == 0, unframed)
		})
	}
}

// TestAStandstillExplainsNothingOnceItIsOver: a gateway that stood still around its signal must not be excused for what it
// cuts off afterwards.
func TestAStandstillExplainsNothingOnceItIsOver(t *testing.T) {
	for _, test := range []struct {
		name     string
		gateway  string
		from, to time.Duration
		lost     bool
	}{
		{"ended by another gateway while its sender stands still", "gateway-2", time.Second, 2 * time.Second, false},
		{"the sender still stands still", "gateway-2", time.Second, 0, false},
		{"cut off after the gateway went on", "gateway-1", time.Second, 1499 * time.Millisecond, true},
		{"cut off after the sender went on", "gateway-2", -time.Second, 1499 * time.Millisecond, true},
		{"ended before", "gateway-1", 1501 * time.Millisecond, 2 * time.Second, true},
		{"another gateway stands still", "gateway-3", time.Second, 2 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newLostScene()
			s.strikes.beginStandstill(test.gateway)
			added := s.strikes.byName[test.gateway][0]
			added.from = s.start.Add(test.from)
			if test.to != 0 {
				added.to = s.start.Add(test.to)
			}
			s.checks.recordAnswer(s.answer, false)
			is.Equal(len(s.checks.findings(&s.strikes, s.stop, io.Discard)) == 1, test.lost)
		})
	}
}

// TestTheLimitOfAStopExplainsNoAnswerThatItsReplicaHadGiven: it may only end what a replica is at work on.
func TestTheLimitOfAStopExplainsNoAnswerThatItsReplicaHadGiven(t *testing.T) {
	const limitShare = 5500 * time.Millisecond
	for _, test := range []struct {
		name  string
		ended time.Duration
		cut   bool
		lost  bool
	}{
		{"at work", limitShare + time.Millisecond, false, false},
		{"cut", limitShare - time.Millisecond, true, false},
		{"under way", 0, false, false},
		{"had answered", limitShare - time.Millisecond, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newLostScene()
			s.strike("gateway-1", "stop", true, 0, 0)
			s.answer.deadline, s.answer.firstByteAt, s.answer.lastByteAt = workDeadline, s.start.Add(time.Second), s.start.Add(time.Second)
			s.answer.endedAt, s.run.endedAt, s.run.cut = s.start.Add(limitShare), s.start.Add(test.ended), test.cut
			if test.ended == 0 {
				s.run.endedAt = time.Time{}
			}
			s.checks.recordAnswer(s.answer, false)
			is.Equal(len(s.checks.findings(&s.strikes, s.stop, io.Discard)) == 1, test.lost)
		})
	}
}
