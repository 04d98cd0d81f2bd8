package main

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// bodyOf returns the first events of a measured stream.
func bodyOf(id string, events int) string {
	body := ""
	for n := 1; n <= events; n++ {
		body += streamEvent(id, n, "v1")
	}
	return body
}

func TestAnEndIsJudgedByTheStateOfItsGateway(t *testing.T) {
	is := is.New(t)
	signalAt := time.Now()
	stops := []gatewayStop{{signalAt: signalAt, startedAt: signalAt.Add(4 * time.Second)}}
	after := func(seconds int) time.Time { return signalAt.Add(time.Duration(seconds) * time.Second) }
	is.Equal(stateOf(stops, after(-2), after(-1)), goesOn)
	is.Equal(stateOf(stops, after(-1), after(1)), isStopping)
	is.Equal(stateOf(stops, after(3), after(5)), isStopping) // the process that stopped took the request
	is.Equal(stateOf(stops, after(5), after(6)), hasStarted)
	is.Equal(stateOf(stops, after(8), after(9)), goesOn)
	is.Equal(stateOf([]gatewayStop{{signalAt: signalAt}}, after(1), after(2)), isStopping)
}

func TestAStreamIsJudgedByWhatItsServerWrote(t *testing.T) {
	whole, broken, cut := &streamRun{whole: true}, &streamRun{brokeOff: true}, &streamRun{cut: true}
	for _, c := range []struct {
		name   string
		status int
		events int
		whole  bool
		runs   []*streamRun
		want   endOfStream
	}{
		{"whole", http.StatusOK, endStopsEvents, true, []*streamRun{whole}, endedWhole},
		{"short as complete", http.StatusOK, 3, true, []*streamRun{broken}, endedShort},
		{"no event, complete", http.StatusOK, 0, true, []*streamRun{broken}, endedShort},
		{"lost with all events", http.StatusOK, endStopsEvents, false, []*streamRun{whole}, endedUnproven},
		{"lost with some events", http.StatusOK, 3, false, []*streamRun{whole}, endedUnproven},
		{"lost without an answer", 0, 0, false, []*streamRun{whole}, endedUnproven},
		{"lost with a failure", http.StatusBadGateway, 0, false, []*streamRun{whole}, endedUnproven},
		{"lost after a rest", http.StatusOK, 3, false, []*streamRun{whole, whole}, endedUnproven},
		{"after a break", http.StatusOK, 3, false, []*streamRun{broken, whole}, endedAfterBreak},
		{"broken off", http.StatusOK, 3, false, []*streamRun{broken}, endedByReplica},
		{"cut off", http.StatusOK, 3, false, []*streamRun{cut}, endedAtWork},
		{"still at work", http.StatusOK, 3, false, []*streamRun{{}}, endedAtWork},
		{"refused", http.StatusServiceUnavailable, 0, true, nil, endedRefused},
		{"refused though it ran", http.StatusServiceUnavailable, 0, true, []*streamRun{cut}, endedRefusedRun},
		{"no connection", 0, 0, false, nil, endedUnrun},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			result := endStopsResult{id: "q1", got: rawResponse{status: c.status, body: bodyOf("q1", c.events), whole: c.whole}}
			is.Equal(result.endOf(c.runs), c.want)
		})
	}
	is := is.New(t)
	other := endStopsResult{id: "q1", got: rawResponse{status: http.StatusOK, body: bodyOf("q2", endStopsEvents), whole: true}}
	is.Equal(other.endOf([]*streamRun{whole}), endedWrong)
}

func TestARunFromACopyIsTheSameRunOnceTheFirstHasEnded(t *testing.T) {
	is := is.New(t)
	once := endStopsResult{class: "n"}
	is.True(!once.ranTwice([]*streamRun{{}}))
	is.True(!once.ranTwice([]*streamRun{{}, {continued: true}}))
	is.True(once.ranTwice([]*streamRun{{}, {continued: true, overlaps: true}}))
	is.True(once.ranTwice([]*streamRun{{}, {}}))
	again := endStopsResult{class: resumableKind}
	is.True(!again.ranTwice([]*streamRun{{}, {}}))
}

func TestNamesOfMeasurementsTellWhatReplicasDo(t *testing.T) {
	is := is.New(t)
	for name, want := range map[string]endStopsKind{
		"ends-stops":                       {unframed: 100, engine: true},
		"ends-stops-breaks-1":              {unframed: 100, broken: 1, engine: true},
		"ends-stops-mixed-breaks-10-plain": {unframed: 30, broken: 10},
		"ends-stops-few-breaks-30":         {unframed: 2, broken: 30, engine: true},
		"ends-stops-mixed-alone":           {unframed: 30, engine: true, alone: true},
		"ends-stops-rests-tokens":          {unframed: 100, engine: true, framedRests: true, allTokens: true},
	} {
		got, found := endStopsKindOf(name)
		is.True(found)
		is.Equal(got, want)
	}
	for _, name := range []string{"ends", "ends-kills", "ends-stops-", "ends-stops-plain-mixed"} {
		_, found := endStopsKindOf(name)
		is.True(!found)
	}
}
