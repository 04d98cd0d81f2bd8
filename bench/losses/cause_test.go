package main

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// line returns the log line of a request's end as the bench prints it.
func line(status, first, pause, why string) string {
	return `  12.5000 frontend-1 time=2026-09-22T05:22:52Z level=debug msg=request-finished node=frontend-1 event=704 seq=21 request=2209 model=m/a1 host=i-e reason="status ` +
		status + `, route r, service s, configuration 4, sent to 1, may have run at 1, first byte ` + first + ` ms, longest pause ` + pause + ` ms at i-e before 05:22:51.000, took 500 ms of 1200 ms; ` + why + `"`
}

func TestCauseOfEachRequestEnd(t *testing.T) {
	cases := []struct {
		status, first, pause, why string
		want                      Cause
	}{
		{"200", "33", "40", "cost 10 ms of 3 candidates", InTime},
		{"200", "33", "251", "cost 10 ms of 3 candidates", LatePause},
		{"200", "401", "40", "cost 10 ms of 3 candidates", LateFirst},
		{"503", "88", "0", "no replica in reach holds the model", NoCopy},
		{"503", "0", "0", "no configuration yet", Starting},
		{"503", "400", "0", "cost 10 ms; connecting: dial tcp4: i/o timeout: not sent", NotConnected},
		{"503", "9", "0", "cost 10 ms; i-e did not run it: 503", NotRun},
		{"0", "90", "40", "cost 10 ms; i-e broke the stream off after event 3: EOF", BrokenOff},
		{"0", "90", "40", "cost 10 ms; stopped after event 3; the client left", ClientLeft},
		{"502", "90", "0", "cost 10 ms; i-e answered 500 Internal Server Error", Failed},
		{"504", "90", "0", "something else", Refused},
	}
	for _, c := range cases {
		t.Run(string(c.want), func(t *testing.T) {
			is := is.New(t)
			r, found := Parse(line(c.status, c.first, c.pause, c.why))
			is.True(found)
			is.Equal(r.Began, 12.0)
			is.Equal(CauseOf(r, 400*time.Millisecond, 250*time.Millisecond), c.want)
		})
	}
}

func TestOtherLinesAreIgnored(t *testing.T) {
	is := is.New(t)
	for _, other := range []string{"", "snapshot 1234", "  1.0 core-1 level=info msg=copy-planned event=512 reason=\"2 copies\""} {
		_, found := Parse(other)
		is.True(!found)
	}
}

// TestTableCountsEachRequestOnce checks that the columns of a row add up to its requests.
func TestTableCountsEachRequestOnce(t *testing.T) {
	is := is.New(t)
	log := strings.Join([]string{line("200", "33", "40", "x"), line("503", "0", "0", "no configuration yet"), "noise", line("200", "500", "0", "x")}, "\n")
	var out strings.Builder
	is.NoErr(run(strings.NewReader(log), &out, options{Target: 400 * time.Millisecond, Pause: 250 * time.Millisecond, Window: 4}))
	last := strings.Fields(out.String()[strings.LastIndex(out.String(), "all"):])
	is.Equal(last, []string{"all", "3", "1", "1", "1"})
}
