package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// TestTheTimeOfTheLastByteIsThatOfTheBodysEnd: a body that takes its time must not count as sent with its head, and one
// that breaks off not at all.
func TestTheTimeOfTheLastByteIsThatOfTheBodysEnd(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
	}))
	defer server.Close()
	for _, broken := range []bool{false, true} {
		is := is.New(t)
		reader, writer := io.Pipe()
		began := time.Now()
		go func() {
			_, _ = io.WriteString(writer, "body")
			time.Sleep(testBodyTime)
			if broken {
				_ = writer.CloseWithError(errors.New("broken off"))
			}
			_ = writer.Close()
		}()
		request, err := http.NewRequest(http.MethodPost, server.URL, reader)
		is.NoErr(err)
		request, lastByteAt := withLastByteTime(request)
		response, err := http.DefaultClient.Do(request)
		if broken {
			is.True(err != nil)
			is.True(lastByteAt().IsZero())
			continue
		}
		is.NoErr(err)
		_ = response.Body.Close()
		is.True(lastByteAt().Sub(began) >= testBodyTime)
	}
}
