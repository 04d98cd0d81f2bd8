package gateway

import (
	"net/http"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/matryer/is"
)

// TestNotRunStatusIsSentOnlyWhenCertain checks that 503, 429, 408 and 421, which
// tell a client that its request did not run, are sent only when that is certain.
func TestNotRunStatusIsSentOnlyWhenCertain(t *testing.T) {
	promises := []int{consts.StatusServiceUnavailable, consts.StatusTooManyRequests, consts.StatusRequestTimeout, http.StatusMisdirectedRequest}
	for _, status := range promises {
		for notRun, want := range map[NotRun]int{DidNotRun: status, RunUnknown: consts.StatusBadGateway, DidRun: consts.StatusBadGateway} {
			is := is.New(t)
			c := app.NewContext(0)
			refuse(status, ReasonAttemptsExhausted, notRun, "every attempt failed").write(c)
			is.Equal(c.Response.StatusCode(), want)
			is.Equal(c.Response.Header.Get(headerNotRun), string(notRun))
		}
	}
	is := is.New(t)
	c := app.NewContext(0)
	refuse(consts.StatusGatewayTimeout, ReasonDeadline, RunUnknown, "the deadline has passed").write(c)
	is.Equal(c.Response.StatusCode(), consts.StatusGatewayTimeout)
}
