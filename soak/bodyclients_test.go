package main

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDrawnBodiesCoverWhatAStopMeets checks that requests are drawn that begin before lastRequestTime, end after it and
// are at work at the limit of a stop, and that what is drawn can be answered in its time.
func TestDrawnBodiesCoverWhatAStopMeets(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 20))
	found := map[string]int{}
	const draws = 1000
	for range draws {
		r := drawBodyRequest(random)
		is.True(r.plan.duration+r.work <= r.deadline-bodyClientSlack)
		is.True(r.plan.duration == 0 || r.plan.duration >= minBodyTime)
		is.Equal(r.work > 0, r.kind == "w")
		is.True(r.plan.bytes <= largeBodyBytes)
		found[r.kind]++
		found["in chunks"] += asNumber(r.plan.chunked)
		found["over time"] += asNumber(r.plan.duration > 0)
		found["late end"] += asNumber(r.plan.lateEnd)
		found["large"] += asNumber(r.plan.bytes == largeBodyBytes)
		found["read last"] += asNumber(r.plan.readsLast)
		found["kept"] += asNumber(r.plan.kept)
		// The head comes right before a gateway refuses what may outlast its stop.
		lastByte, limit := defaultStop.balancerLag+r.plan.duration, defaultStop.limit*5/6
		found["lost"] += asNumber(r.kind == "w" && lastByte > lastRequestTime && lastByte+r.work > limit)
	}
	for name, atLeast := range map[string]int{"u": draws / 10, "s": draws / 10, "e": draws / 10, "w": draws / 3, "in chunks": draws / 3, "over time": draws / 3,
		"late end": draws / 10, "large": draws / 20, "read last": draws / 10, "kept": draws / 2, "lost": draws / 10} {
		if found[name] < atLeast {
			t.Errorf("%s: %d of %d requests", name, found[name], draws)
		}
	}
}

// TestSeedsDrawTheSamePlans checks that a run's seed and a request's number give the same plan again.
func TestSeedsDrawTheSamePlans(t *testing.T) {
	is := is.New(t)
	for number := range uint64(20) {
		first := drawBodyPlan(rand.New(rand.NewPCG(7, number)), true)
		is.Equal(first, drawBodyPlan(rand.New(rand.NewPCG(7, number)), true))
	}
}

// TestAReplicaFindsABodyThatIsNotWhole: a request that was passed on with a part of its body is a finding.
func TestAReplicaFindsABodyThatIsNotWhole(t *testing.T) {
	for _, test := range []struct {
		size, body, echo string
		cut              bool
	}{
		{"", "body of q1", "body of q1", false},
		{"", "", "", false},
		{"15", "body of q1\n....", "body of q1", false},
		{"16", "body of q1\n....", "body of q1", true},
		{"15", "", "", true},
	} {
		is := is.New(t)
		request := httptest.NewRequest(http.MethodPost, "/u/x", nil)
		if test.size != "" {
			request.Header.Set(bodySizeHeader, test.size)
		}
		echo, cut := echoOf(request, []byte(test.body))
		is.Equal(echo, test.echo)
		is.Equal(cut, test.cut)
	}
}

// bodyClientsScene returns clients with a replica's answers as a gateway would pass them on.
func bodyClientsScene(t *testing.T) (*clients, *replicas, *replica) {
	t.Helper()
	check := newChecker()
	in := &installation{}
	r := &replicas{in: in, check: check, zones: newZoneDrains()}
	return &clients{in: in, check: check, replicas: r}, r, &replica{id: "i-001", pause: newPause()}
}

// TestRequestsWithWorkAreCheckedLikeOthers checks that an answer to a request with work is whole and its own, that its cut
// is recorded, and that a second run is a finding.
func TestRequestsWithWorkAreCheckedLikeOthers(t *testing.T) {
	is := is.New(t)
	c, r, rep := bodyClientsScene(t)
	conns := bodyServerOf(t, func(w http.ResponseWriter, request *http.Request) {
		id := request.Header.Get(idHeader)
		w.Header().Set(stampHeader, rep.id+"."+id)
		run := r.check.lost.beginRun(id, rep, "", time.Now())
		r.check.recordRun(id, rep.id)
		r.work(run, w, request, id+":body of "+id)
	})
	request := bodyRequest{kind: "w", plan: bodyPlan{bytes: smallBodyBytes, duration: testBodyTime, chunked: true, kept: true}, work: testBodyTime, deadline: workDeadline, draw: mainAccountDraw}
	c.sendByPlan(conns, &member{name: "gateway-1"}, "q1", request)
	is.Equal(c.check.counts["whole answers"], 1)
	is.Equal(c.check.counts["bodies over time"], 1)
	is.Equal(c.check.findings(), nil)
	c.sendByPlan(conns, &member{name: "gateway-1"}, "q1", request)
	found := c.check.findings()
	is.Equal(len(found), 1)
	is.True(strings.HasPrefix(found[0], "twice"))
}

// TestAnAnswerBeforeTheEndOfABodyIsCounted checks that a refusal that comes while a body is sent counts as one.
func TestAnAnswerBeforeTheEndOfABodyIsCounted(t *testing.T) {
	is := is.New(t)
	c, _, _ := bodyClientsScene(t)
	conns := bodyServerOf(t, func(w http.ResponseWriter, _ *http.Request) {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = control.Flush()
	})
	c.sendByPlan(conns, &member{name: "gateway-1"}, "q1", bodyRequest{kind: "u", plan: bodyPlan{bytes: smallBodyBytes, duration: testTimeout}, deadline: requestDeadline, draw: mainAccountDraw})
	is.Equal(c.check.counts["refusals"], 1)
	is.Equal(c.check.counts["answers before the end of a body"], 1)
	is.Equal(c.check.reportedNotRun["q1"], http.StatusServiceUnavailable)
}

// bodyServerOf serves a handler; it returns what clients use.
func bodyServerOf(t *testing.T, handler http.HandlerFunc) *keptConns {
	t.Helper()
	server := httptest.NewServer(handler)
	conns := &keptConns{address: server.Listener.Addr().String()}
	t.Cleanup(func() {
		conns.close()
		server.Close()
	})
	return conns
}
