package main

import (
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Cause is why a request did not earn what it could.
type Cause string

// The causes, the first that fits counts.
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

// Request is what a log line tells of a request's end.
type Request struct {
	// Began is the second of the day in which the request came.
	Began float64
	Model bool
	// Status is 0 for an answer that was cut or whose client left.
	Status int
	First  time.Duration
	Pause  time.Duration
	Why    string
}

// linePattern takes the parts of a request's line; the bench writes the second of the
// day before what the process wrote.
var linePattern = regexp.MustCompile(`^\s*(-?[\d.]+) .*event=70[245] .*reason="status (\d+), .*first byte (-?\d+) ms, longest pause (\d+) ms.*, took (\d+) ms of \d+ ms; (.*)"`)

// Parse reads a line; it reports false for lines that are no request's end.
func Parse(line string) (Request, bool) {
	part := linePattern.FindStringSubmatch(line)
	if part == nil {
		return Request{}, false
	}
	ended, err := strconv.ParseFloat(part[1], 64)
	if err != nil {
		return Request{}, false
	}
	took := milliseconds(part[5])
	return Request{
		Began:  ended - took.Seconds(),
		Model:  strings.Contains(line, " model="),
		Status: int(milliseconds(part[2]) / time.Millisecond),
		First:  milliseconds(part[3]),
		Pause:  milliseconds(part[4]),
		Why:    part[6],
	}, true
}

// milliseconds reads a whole number that the pattern has matched as digits.
func milliseconds(digits string) time.Duration {
	value, err := strconv.Atoi(digits)
	if err != nil {
		return 0
	}
	return time.Duration(value) * time.Millisecond
}

// whyCauses are the causes by what a line says, of requests that were not answered well.
var whyCauses = []struct {
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

// CauseOf says why a request was lost or late, with the time that its first event and
// the pauses between events may take.
func CauseOf(r Request, target, pause time.Duration) Cause {
	if r.Status != 200 {
		for _, known := range whyCauses {
			if strings.Contains(r.Why, known.text) {
				return known.cause
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
