//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// attempt is one request of a client on a connection of its own, and what came back.
type attempt struct {
	id       string
	gateway  *node
	sentAt   time.Time
	endedAt  time.Time
	status   int
	stamp    string
	retry    string
	events   []string
	complete bool
	err      error
}

// requestBody is the body of each POST.
var requestBody = strings.Repeat("the text of a request ", 30)

// send sends a request and reads its answer to the end. Times are those of the client.
func send(gateway *node, id, method, host, path string, headers map[string]string, deadline time.Duration) *attempt {
	a := &attempt{id: id, gateway: gateway}
	conn, err := net.DialTimeout("tcp", gateway.address(clientPort), time.Second)
	if err != nil {
		a.sentAt, a.endedAt, a.err = time.Now(), time.Now(), err
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	for name, value := range headers {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n%s", len(requestBody), requestBody)
	} else {
		head.WriteString("\r\n")
	}
	if _, err := io.WriteString(conn, head.String()); err != nil {
		a.err = err
	}
	a.sentAt = time.Now()
	a.read(conn, method)
	a.endedAt = time.Now()
	return a
}

func (a *attempt) read(conn net.Conn, method string) {
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return
	}
	defer response.Body.Close()
	a.status, a.stamp, a.retry = response.StatusCode, response.Header.Get("X-Response-Stamp"), response.Header.Get("Retry-After")
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			a.events = append(a.events, id)
		}
	}
	if a.err = lines.Err(); a.err == nil {
		a.complete = true
	}
}

// describe formats the result for the record.
func (a *attempt) describe() string {
	text := fmt.Sprintf("client: %s at %s ended after %d ms: ", a.id, a.gateway.name, a.endedAt.Sub(a.sentAt).Milliseconds())
	switch {
	case a.status == 0:
		return text + fmt.Sprintf("no answer (%v)", a.err)
	case !a.complete:
		return text + fmt.Sprintf("status %d, broken off after %d events (%v)", a.status, len(a.events), a.err)
	}
	return text + fmt.Sprintf("status %d, whole, %d events", a.status, len(a.events))
}
