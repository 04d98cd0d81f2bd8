package exchange

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/moorspool/moorspool/src/catalog"
)

// TestHeadThatNamesNoRequestProvesNothingOfIt: surplus bytes without an ID that stated that a request had not
// run were taken for the answer to one that must not be repeated, which another replica then ran as well.
func TestHeadThatNamesNoRequestProvesNothingOfIt(t *testing.T) {
	const other = testID + ": other\r\n"
	for _, c := range []struct {
		name   string
		status int
		fields string
	}{
		{"not run", 503, testNotRun + ": 1\r\n"},
		{"not run, of another request", 503, other + testNotRun + ": 1\r\n"},
		{"misdirected", 421, ""},
		{"misdirected, of another request", 421, other},
		{"too many requests", 429, testNotRun + ": 1\r\n"},
		{"malformed", 400, testNotRun + ": 1\r\n"},
		{"failure", 500, ""},
		{"success", 200, ""},
	} {
		surplus := fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 7\r\n\r\nsurplus", c.status, c.fields)
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			x := newReplica(t, "x", func(a arrival) bool {
				_, _ = io.WriteString(a.conn, surplus)
				return whole(a)
			})
			b := newBench(t, route(catalog.Unsafe, 2), x)
			is.Equal(b.do("POST", "one", "x").body, "answer to one by x")

			// Without an answer it is not known whether the request has run.
			x.setAct(func(a arrival) bool {
				_, _ = io.WriteString(a.conn, surplus)
				return false
			})
			y := newReplica(t, "y", whole)
			b.register(x, y)
			for i := range 64 {
				before := x.count()
				got := b.do("POST", fmt.Sprint("request-", i), "x")
				if x.count() > before {
					is.Equal(got.status, http.StatusBadGateway)
					is.Equal(y.count(), i)
					return
				}
			}
			t.Error("the faulty replica was never chosen")
		})
	}
}

// TestHeadThatNamesNoRequestEndsNoRestriction: surplus bytes that do not name a limit of rejections were taken for
// the replica's last word on it.
func TestHeadThatNamesNoRequestEndsNoRestriction(t *testing.T) {
	for _, c := range []struct {
		name    string
		id      string
		limited bool
	}{
		{"the request's ID", "one", false},
		{"another ID", "other", true},
		{"no ID", "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, route(catalog.Unsafe, 1), newReplica(t, "x", whole))
			peer := b.fleet.Peer("x")
			request := &call{handler: b.handler, requestInfo: RequestInfo{ID: "one"}}
			head := func(id string, fields ...string) http.Header {
				header := http.Header{}
				header.Set(testID, id)
				for _, field := range fields {
					header.Set(field, "1")
				}
				return header
			}
			request.applyReply(peer, http.StatusOK, head("one", testRejections), sentRequest{sentAt: time.Now()})
			is.True(b.fleet.limitsRejections(peer))
			request.applyReply(peer, http.StatusOK, head(c.id), sentRequest{sentAt: time.Now()})
			is.Equal(b.fleet.limitsRejections(peer), c.limited)
			request.applyReply(peer, http.StatusOK, head(c.id, testLeaving), sentRequest{sentAt: time.Now()})
			is.True(peer.leaving()) // what it asks for is granted
		})
	}
}
