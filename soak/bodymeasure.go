package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// What a measurement of bodies that are sent over time does.
const (
	bodyReplicas = 16
	// bodyRounds is how many gateways are stopped, bodyPause the pause between two requests of a class.
	bodyRounds = 3
	bodyPause  = time.Second / 23
	// bodyTurnAway is how long after a signal clients leave the gateway that stops.
	bodyTurnAway = 3300 * time.Millisecond
	// shortBodyTimeout, longBodyTimeout and plainBodyTimeout are the times for an answer of each class,
	// bodyClientSlack is how much longer a client waits.
	shortBodyTimeout = 5 * time.Second
	longBodyTimeout  = 20 * time.Second
	plainBodyTimeout = 15 * time.Second
	bodyClientSlack  = time.Second
	// quickWork, longWork and slowWork are how long a replica needs for an answer.
	quickWork = 300 * time.Millisecond
	longWork  = 2400 * time.Millisecond
	slowWork  = 4800 * time.Millisecond
	// lateSilence is how long after a signal replicas fall silent, longSilence for how long.
	lateSilence = 3300 * time.Millisecond
	longSilence = 2600 * time.Millisecond
)

// bodyLoad is a load of requests whose bodies are sent by plans.
type bodyLoad struct {
	// over is the time over which half of the bodies are sent, 0 if all are sent at once.
	over time.Duration
	// work is how long a replica needs for an answer.
	work time.Duration
}

// measured returns the load.
func (l bodyLoad) measured() measuredLoad {
	return measuredLoad{
		classes: []silenceClass{
			{"o", "streams, 5 s, one run", bodyPause, "streaming", shortBodyTimeout, 1, false},
			{"r", "streams that may be resumed, 20 s, two runs", bodyPause, "streaming", longBodyTimeout, 2, true},
			{"u", "plain, 15 s, one run", bodyPause, "unsafe", plainBodyTimeout, 1, false},
		},
		replicas: bodyReplicas, backlog: defaultBacklog, rounds: bodyRounds, turnAway: bodyTurnAway,
		pace: l.work / (silenceEvents - 1), plainTime: l.work,
	}
}

// draw draws how the body of a request is sent.
func (l bodyLoad) draw(random *rand.Rand) bodyPlan {
	p := drawBodyPlan(random, l.over > 0)
	if p.duration > 0 {
		p.duration = l.over
	}
	return p
}

// sentBody is how the body of a measured request was sent.
type sentBody struct {
	plan bodyPlan
	// lastByteAt is when the last byte of the request was sent, the zero time if it was not sent whole.
	lastByteAt time.Time
	// reused is set if the connection had taken an earlier request.
	reused bool
	// answered is set if an answer of any status came whole.
	answered bool
	// reset is set if the connection was reset while the client was writing, and no answer came.
	reset bool
	// err is what ended the request early.
	err error
}

// sendBody sends one request whose body is sent by a plan, which depends on the run's seed and the request's number.
func (m *silenceMeasurement) sendBody(class silenceClass, gateway *member) silenceResult {
	number := m.next.Add(1)
	result := silenceResult{id: fmt.Sprintf("q%08d", number), class: class, gateway: gateway, sentAt: time.Now()}
	body := &sentBody{plan: m.kind.bodies.draw(rand.New(rand.NewPCG(m.in.options.Seed, number)))}
	result.body = body
	head := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\nX-Deadline-Ms: %d\r\n%s", class.kind, idHeader, result.id, class.timeout.Milliseconds(), body.plan.header())
	if !body.plan.kept {
		head += "Connection: close\r\n"
	}
	answer, reused, err := m.conns[gateway].send(body.plan, result.id, head+"\r\n", class.timeout+bodyClientSlack)
	if result.endedAt = time.Now(); err != nil {
		body.err = err
		return result
	}
	result.dialed, result.sentAt, result.endedAt, result.lastAt = true, answer.firstByteAt, answer.endedAt, answer.readAt
	result.status, result.events = answer.status, strings.Count(answer.body, "\n\n")
	result.whole = answer.whole && answer.status == http.StatusOK && result.complete()
	*body = sentBody{plan: body.plan, lastByteAt: answer.lastByteAt, reused: reused, answered: answer.whole, reset: answer.wasReset(), err: answer.err}
	return result
}
