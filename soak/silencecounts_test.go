package main

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMeasuredLossNeedsARunAtWork checks which results of a measurement count as lost.
func TestMeasuredLossNeedsARunAtWork(t *testing.T) {
	start := time.Now()
	ended := start.Add(time.Second)
	atWork := &silentRun{begun: start, lastAt: ended.Add(time.Second), done: true}
	for _, test := range []struct {
		name   string
		result silenceResult
		run    *silentRun
		lost   bool
	}{
		{"broken off while the replica is at work", silenceResult{dialed: true, status: http.StatusOK, endedAt: ended}, atWork, true},
		{"502 while the replica is at work", silenceResult{dialed: true, status: http.StatusBadGateway, endedAt: ended}, atWork, true},
		{"a run that was cut", silenceResult{dialed: true, endedAt: ended}, &silentRun{lastAt: start, cutAt: start}, true},
		{"a whole answer", silenceResult{dialed: true, status: http.StatusOK, whole: true, endedAt: ended}, atWork, false},
		{"a refused dial", silenceResult{endedAt: ended}, atWork, false},
		{"no run", silenceResult{dialed: true, endedAt: ended}, nil, false},
		{"a run that had ended", silenceResult{dialed: true, endedAt: ended}, &silentRun{lastAt: start, done: true}, false},
		{"at the deadline", silenceResult{dialed: true, endedAt: start.Add(silenceTimeout)}, &silentRun{}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			test.result.sentAt = start
			is.Equal(test.result.isLost(test.run), test.lost)
		})
	}
}

// TestLinesOfLostRequestsAreFound checks that the reasons of ends are read from gateways' logs, without what
// differs between requests that end alike.
func TestLinesOfLostRequestsAreFound(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	in := &installation{options: options{Folder: folder}, members: make([]*member, controlNodeCount)}
	in.members = append(in.members, &member{name: "gateway-1"})
	is.NoErr(os.Mkdir(filepath.Join(folder, "gateway-1"), 0o755))
	text := `time=1 level=debug msg=request-finished node=gateway-1 event=704 seq=1 request=q00000001 reason="status 200, load 5 ms old"` + "\n" +
		`time=1 level=info msg=answer-ended-early node=gateway-1 event=717 seq=2 request=q00000002 host=i-001@5 reason="silence, 1203 ms after the last byte"` + "\n" +
		`time=1 level=debug msg=request-refused node=gateway-1 event=702 seq=3 request=q00000002 host=i-001@5 reason="status 0, took 9 ms, load 5 ms old; i-001@5 broke the stream off after event 5"` + "\n"
	is.NoErr(os.WriteFile(filepath.Join(folder, "gateway-1", "log"), []byte(text), 0o644))
	lines := in.requestLines()
	is.Equal(len(lines), 1)
	is.Equal(lines["q00000002"], "717, : silence, _ after the last byte | 702, status 0: _ broke the stream off after _")
}

// TestALineOfAnotherGatewayNamesNoRequestOfThisOne: a forwarded request has a line of the second gateway also if the first
// one was killed without a line.
func TestALineOfAnotherGatewayNamesNoRequestOfThisOne(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	in := &installation{options: options{Folder: folder}, members: make([]*member, controlNodeCount)}
	in.members = append(in.members, &member{name: "gateway-1"}, &member{name: "gateway-2"}, &member{name: "gateway-3"})
	is.NoErr(os.Mkdir(filepath.Join(folder, "gateway-2"), 0o755))
	text := `time=1 level=debug msg=request-left node=gateway-2 event=705 seq=1 request=q00000001 reason="the client left"` + "\n"
	is.NoErr(os.WriteFile(filepath.Join(folder, "gateway-2", "log"), []byte(text), 0o644))
	is.Equal(in.namedRequests(), map[namedRequest]bool{{"gateway-2", "q00000001"}: true})
}
