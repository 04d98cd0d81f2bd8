package main

import (
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Cause is the reason why a request was lost or late.
type Cause string

// The causes of lost and late requests.
const (
	InTime       Cause = "in time"
	NoCopy       Cause = "no copy in reach"
	NotConnected Cause = "replicas not reached"
	NotRun       Cause = "replicas did not run it"
	Starting     Cause = "gateway starting"
	Failed       Cause = "replica failed"
	BrokenOff    Cause = "stream broken off"
	ClientLeft   Cause = "client left"
	Refused      Cause = "refused otherwise"
	LatePause    Cause = "late by a pause"
	LateFirst    Cause = "late by the first event"
)

// Request is the end of a request as a log line reports it.
type Request struct {
	// Began is when the request arrived, in seconds of the day.
	Began float64
	Model bool
	// Status is 0 if the answer was cut off or the client left.
	Status int
	First  time.Duration
	Pause  time.Duration
	Reason string
}

// linePattern matches the log line of a request's end; the bench prefixes each line of a process
// with the second of the day.
var linePattern = regexp.MustCompile(`^\s*(-?[\d.]+) .*event=70[245] .*reason="status (\d+), .*first byte (-?\d+) ms, longest pause (\d+) ms.*, took (\d+) ms of \d+ ms; (.*)"`)

// Parse parses a line; it reports false if the line is not the end of a request.
func Parse(line string) (Request, bool) {
	fields := linePattern.FindStringSubmatch(line)
	if fields == nil {
		return Request{}, false
	}
	ended, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return Request{}, false
	}
	took := milliseconds(fields[5])
	return Request{
		Began:  ended - took.Seconds(),
		Model:  strings.Contains(line, " model="),
		Status: int(milliseconds(fields[2]) / time.Millisecond),
		First:  milliseconds(fields[3]),
		Pause:  milliseconds(fields[4]),
		Reason: fields[6],
	}, true
}

// milliseconds converts a whole number of milliseconds that linePattern matched.
func milliseconds(digits string) time.Duration {
	value, err := strconv.Atoi(digits)
	if err != nil {
		return 0
	}
	return time.Duration(value) * time.Millisecond
}

// reasonCauses maps texts in the log lines of failed requests to causes; the first match counts.
var reasonCauses = []struct {
	text  string
	cause Cause
}{
	{"no configuration yet", Starting},
	{"the client left", ClientLeft},
	{"broke the stream off", BrokenOff},
	{"connecting: ", NotConnected},
	{"did not run it", NotRun},
	{"holds the model", NoCopy},
	{"of the service is in reach", NotConnected},
	{" answered 5", Failed},
}

// CauseOf returns why a request was lost or late. target limits the time to the first event, pause
// the time between two events.
func CauseOf(r Request, target, pause time.Duration) Cause {
	if r.Status != 200 {
		for _, candidate := range reasonCauses {
			if strings.Contains(r.Reason, candidate.text) {
				return candidate.cause
			}
		}
		return Refused
	}
	switch {
	case r.Model && r.Pause > pause:
		return LatePause
	case r.First > target:
		return LateFirst
	}
	return InTime
}
