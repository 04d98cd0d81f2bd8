package main

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// withLastByteTime returns the request to send, and what returns when its last byte was sent, the zero time if it was
// not sent whole.
func withLastByteTime(request *http.Request) (*http.Request, func() time.Time) {
	var wrote atomic.Pointer[time.Time]
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if at := time.Now(); info.Err == nil {
			wrote.Store(&at)
		}
	}}
	return request.WithContext(httptrace.WithClientTrace(request.Context(), trace)), func() time.Time {
		if at := wrote.Load(); at != nil {
			return *at
		}
		return time.Time{}
	}
}
