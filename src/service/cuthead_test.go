package service

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/cuttest"
)

const (
	testFields  = "X-Load: 0/0\r\n"
	testContent = "hello-world"
)

// newCutClient returns a function that calls a server that gives an answer.
func newCutClient(t *testing.T, once bool, wait time.Duration) func(method string, answer cuttest.Cut) (Answer, error) {
	t.Helper()
	client, err := New(nil, wait)
	if err != nil {
		t.Fatal(err)
	}
	server := cuttest.NewServer(t)
	return func(method string, answer cuttest.Cut) (Answer, error) {
		server.Set(answer)
		arrived := server.Requests()
		for {
			got, err := client.Do(context.Background(), server.Address, Call{Method: method, Path: "/", ID: "one", AtMostOnce: once})
			if err == nil || server.Requests() > arrived || t.Failed() {
				return got, err
			}
			// On a busy machine a dial may take too long.
		}
	}
}

func forOnceAndNot(t *testing.T, test func(t *testing.T, once bool)) {
	t.Helper()
	for _, once := range []bool{false, true} {
		t.Run(fmt.Sprint("at most once ", once), func(t *testing.T) {
			t.Parallel()
			test(t, once)
		})
	}
}

// wantNoAnswer fails the test if an answer that was cut off is taken for one.
func wantNoAnswer(t *testing.T, once, inBody bool) {
	t.Helper()
	do := newCutClient(t, once, time.Second)
	for _, cut := range cuttest.Incomplete("200 OK", testFields, testContent) {
		if cut.InBody != inBody {
			continue
		}
		answer, err := do("POST", cut)
		if cut.Unproven {
			if err != nil || !answer.EndsByClose {
				t.Errorf("%s: %+v, %v", cut, answer, err)
			}
			continue
		}
		var failure *Failure
		if !errors.As(err, &failure) || failure.NotRun {
			t.Errorf("%s was taken for %d %q, %v", cut, answer.Status, answer.Body, err)
		}
	}
}

// TestACutHeadIsNoAnswer: a head that was cut after a folded field and one of an interim response were taken
// for whole answers, and so were status lines without a status.
func TestACutHeadIsNoAnswer(t *testing.T) {
	forOnceAndNot(t, func(t *testing.T, once bool) { wantNoAnswer(t, once, false) })
}

// TestACutBodyIsNoAnswer: a body that was reset, or lacked its trailer, was taken for a whole one.
func TestACutBodyIsNoAnswer(t *testing.T) {
	forOnceAndNot(t, func(t *testing.T, once bool) { wantNoAnswer(t, once, true) })
}

func TestAnAnswerThatStopsOnAnOpenConnectionIsNoAnswer(t *testing.T) {
	forOnceAndNot(t, func(t *testing.T, once bool) {
		var calls sync.WaitGroup
		for _, cut := range cuttest.Held("200 OK", testFields, testContent) {
			do := newCutClient(t, once, 200*time.Millisecond)
			calls.Go(func() {
				if answer, err := do("POST", cut); err == nil {
					t.Errorf("%s was taken for %d %q", cut, answer.Status, answer.Body)
				}
			})
		}
		calls.Wait()
	})
}

func TestAWholeAnswerIsReadInEachFraming(t *testing.T) {
	forOnceAndNot(t, func(t *testing.T, once bool) {
		answers := cuttest.Answers("200 OK", testFields, testContent)
		answers = append(answers, answers[0].Interim()...)
		for _, whole := range answers {
			if whole.Name == cuttest.Folded {
				continue // refused, as its sender must not send it
			}
			t.Run(whole.Name, func(t *testing.T) {
				is := is.New(t)
				do := newCutClient(t, once, time.Second)
				for range 3 { // on one connection, if it may be used again
					answer, err := do("POST", whole.Whole())
					is.NoErr(err)
					is.Equal(answer.Status, 200)
					is.Equal(string(answer.Body), whole.Content)
					is.Equal(answer.EndsByClose, whole.ToTheClose)
				}
			})
		}
	})
}

// TestAFoldedFieldMovesNoBody: the body after a head with a folded field was moved by the length of the fold.
func TestAFoldedFieldMovesNoBody(t *testing.T) {
	forOnceAndNot(t, func(t *testing.T, once bool) {
		do := newCutClient(t, once, time.Second)
		for _, whole := range cuttest.Answers("200 OK", testFields, testContent) {
			answer, err := do("POST", whole.Whole())
			if err == nil && string(answer.Body) != whole.Content {
				t.Errorf("%s: %q", whole.Name, answer.Body)
			}
		}
	})
}

func TestAnswersWithoutABodyAreWholeWithTheirHeads(t *testing.T) {
	for _, c := range []struct{ method, head string }{
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"},
		{"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"HEAD", "HTTP/1.1 200 OK\r\n\r\n"},
		{"GET", "HTTP/1.1 204 X\r\n" + testFields + "\r\n"},
		{"GET", "HTTP/1.1 304 X\r\nContent-Length: 12\r\n\r\n"},
	} {
		t.Run(c.method+" "+c.head[:12], func(t *testing.T) {
			is := is.New(t)
			do := newCutClient(t, false, time.Second)
			answer, err := do(c.method, cuttest.Cut{Text: c.head, Ending: cuttest.Serve})
			is.NoErr(err)
			is.Equal(len(answer.Body), 0)
			is.True(!answer.EndsByClose)
			for i := range c.head {
				for _, ending := range []cuttest.Ending{cuttest.Close, cuttest.Reset} {
					_, err := do(c.method, cuttest.Cut{Text: c.head[:i], Ending: ending})
					is.True(err != nil)
				}
			}
		})
	}
}
