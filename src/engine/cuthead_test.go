package engine

import (
	"context"
	"errors"
	"io"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/cuttest"
)

const (
	testFields = "Content-Type: text/event-stream\r\nX-Load: 0/0\r\n"
	testEvents = "id: 1\ndata: one\n\nid: 12\ndata: twelve\n\n"
	testEnd    = "data: " + StreamEnd + "\n\n"
)

// newCutStreams returns a function that opens a stream on a server that gives an answer, and reads it to its
// end. It returns the tokens as "id=data".
func newCutStreams(t *testing.T, wait time.Duration) func(answer cuttest.Cut) ([]string, error) {
	t.Helper()
	client, err := NewStreamClient(nil, wait)
	if err != nil {
		t.Fatal(err)
	}
	server := cuttest.NewServer(t)
	return func(answer cuttest.Cut) ([]string, error) {
		server.Set(answer)
		request := Request{Path: PathCompletions, ID: "one", Body: []byte("{}")}
		arrived := server.Requests()
		stream, err := client.Open(context.Background(), server.Address, request)
		var failure *Failure
		if errors.As(err, &failure) && failure.NotRun && server.Requests() == arrived {
			// The connection was that of an aborted stream.
			stream, err = client.Open(context.Background(), server.Address, request)
		}
		if err != nil {
			return nil, err
		}
		defer stream.Close()
		var tokens []string
		for {
			token, err := stream.Next()
			if err != nil {
				return tokens, err
			}
			tokens = append(tokens, FormatLoad(int(token.ID), 0)+string(token.Data))
		}
	}
}

// wantBrokenOff fails the test if a stream that was cut off ended in order, or passed on part of an event.
func wantBrokenOff(t *testing.T, cut cuttest.Cut, tokens []string, err error) {
	t.Helper()
	whole := []string{"1/0one", "12/0twelve"}
	if len(tokens) > len(whole) || !slices.Equal(tokens, whole[:len(tokens)]) {
		t.Errorf("%s: tokens %q", cut, tokens)
	}
	ended := strings.Contains(cut.Text, testEnd)
	if (errors.Is(err, io.EOF) || err == nil) && !ended {
		t.Errorf("%s ended in order: %v", cut, err)
	}
	var failure *Failure
	if errors.As(err, &failure) && failure.NotRun {
		t.Errorf("%s counts as not run", cut)
	}
}

// TestACutStreamEndsNoEvent: an event that was cut off, and its ID, were passed on as whole ones.
func TestACutStreamEndsNoEvent(t *testing.T) {
	t.Parallel()
	read := newCutStreams(t, time.Second)
	for _, cut := range cuttest.Incomplete("200 OK", testFields, testEvents+testEnd) {
		tokens, err := read(cut)
		wantBrokenOff(t, cut, tokens, err)
	}
}

// TestAStreamThatEndsInsideAnEventEndsNoEvent: the framing of a body says nothing of its events.
func TestAStreamThatEndsInsideAnEventEndsNoEvent(t *testing.T) {
	t.Parallel()
	read := newCutStreams(t, time.Second)
	for i := range testEvents + testEnd {
		for _, whole := range cuttest.Answers("200 OK", testFields, (testEvents + testEnd)[:i]) {
			cut := cuttest.Cut{Text: whole.Text(), Ending: cuttest.Close}
			tokens, err := read(cut)
			wantBrokenOff(t, cut, tokens, err)
		}
	}
}

func TestAStreamThatStopsOnAnOpenConnectionBreaksOff(t *testing.T) {
	t.Parallel()
	var streams sync.WaitGroup
	for _, cut := range cuttest.Held("200 OK", testFields, testEvents) {
		read := newCutStreams(t, 200*time.Millisecond)
		streams.Go(func() {
			tokens, err := read(cut)
			wantBrokenOff(t, cut, tokens, err)
		})
	}
	streams.Wait()
}

func TestAWholeStreamIsReadInEachFraming(t *testing.T) {
	t.Parallel()
	answers := cuttest.Answers("200 OK", testFields, testEvents+testEnd)
	answers = append(answers, answers[0].Interim()...)
	for _, whole := range answers {
		if whole.Name == cuttest.Folded {
			continue // refused, as its sender must not send it
		}
		t.Run(whole.Name, func(t *testing.T) {
			is := is.New(t)
			read := newCutStreams(t, time.Second)
			for range 3 { // on one connection, if it may be used again
				tokens, err := read(whole.Whole())
				is.True(errors.Is(err, io.EOF))
				is.Equal(tokens, []string{"1/0one", "12/0twelve"})
			}
		})
	}
}

// newCutControl returns functions that ask a server that gives an answer for a report and send it an order.
func newCutControl(t *testing.T) (report func(cuttest.Cut) (Report, error), order func(cuttest.Cut) (OrderReply, error)) {
	t.Helper()
	client, err := NewControlClient(nil, func(int, int) {})
	if err != nil {
		t.Fatal(err)
	}
	server := cuttest.NewServer(t)
	report = func(answer cuttest.Cut) (Report, error) {
		server.Set(answer)
		return client.Report(context.Background(), server.Address, Report{})
	}
	order = func(answer cuttest.Cut) (OrderReply, error) {
		server.Set(answer)
		return client.Order(context.Background(), server.Address, Order{})
	}
	return report, order
}

const (
	testReport = `{"host":"h","incarnation":"i","seq":12,"version":3,"epoch":4,"lastOrder":5}`
	testReply  = `{"outcome":"taken"}`
)

func TestACutAnswerOfAnEngineIsNoOtherReportOrReply(t *testing.T) {
	t.Parallel()
	report, order := newCutControl(t)
	for _, cut := range cuttest.Incomplete("200 OK", "", testReport) {
		got, err := report(cut)
		if err == nil && !reflect.DeepEqual(got, Report{Host: "h", Incarnation: "i", Seq: 12, Version: 3, Epoch: 4, LastOrder: 5}) {
			t.Errorf("%s was taken for the report %+v", cut, got)
		}
		if !cut.InBody && err == nil {
			t.Errorf("%s was taken for an answer", cut)
		}
	}
	for _, cut := range cuttest.Incomplete("200 OK", "", testReply) {
		got, err := order(cut)
		if err == nil && got != (OrderReply{Outcome: OrderAccepted}) {
			t.Errorf("%s was taken for the reply %+v", cut, got)
		}
		if !cut.InBody && err == nil {
			t.Errorf("%s was taken for an answer", cut)
		}
	}
}
