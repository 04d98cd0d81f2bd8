package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// endlessPercent is the share of answers and reports, in percent, that do not end.
	endlessPercent = 1
	// endlessStep is the pause after each endlessChunkBytes: 1,000 Mbit a second.
	endlessStep       = 10 * time.Millisecond
	endlessChunkBytes = 1_250_000
	// endlessTime is how long an answer goes on if its connection is not closed.
	endlessTime = 3 * time.Second
	// maxAnswerBytes is what a client reads of an answer.
	maxAnswerBytes = 4 << 20
	endlessLength  = "Content-Length: 1000000000000\r\n\r\n"
)

// endlessAnswer is an answer with a place in which bytes come until the connection is closed.
type endlessAnswer struct {
	place string
	// first and repeated are sent in this order. They contain ID for the request's and OTHER for another
	// one's.
	first, repeated string
	// rejects is set if the answer states that the request has not run.
	rejects bool
}

var endlessAnswers = []endlessAnswer{
	{place: "status line", repeated: "x"},
	{place: "header field", first: "HTTP/1.1 200 OK\r\nField: ", repeated: "x"},
	{place: "header fields", first: "HTTP/1.1 200 OK\r\n", repeated: "Field: x\r\n"},
	{place: "header fields of an interim answer", first: "HTTP/1.1 103 X\r\n", repeated: "Field: x\r\n"},
	{place: "interim answers", repeated: "HTTP/1.1 100 Continue\r\n\r\n"},
	{place: "late answer", first: "HTTP/1.1 200 OK\r\nOTHER" + endlessLength, repeated: "x"},
	{place: "failure", first: "HTTP/1.1 500 X\r\nID" + endlessLength, repeated: "x"},
	{place: "failure without a length", first: "HTTP/1.1 500 X\r\nID\r\n", repeated: "x"},
	{place: "rejection", first: "HTTP/1.1 503 X\r\nID" + "X-Not-Executed: 1\r\n" + endlessLength, repeated: "x", rejects: true},
	{place: "body", first: "HTTP/1.1 200 OK\r\nID" + endlessLength, repeated: "x"},
	{place: "chunk extension", first: "HTTP/1.1 200 OK\r\nIDTransfer-Encoding: chunked\r\n\r\n1;", repeated: "x"},
	{place: "chunk", first: "HTTP/1.1 200 OK\r\nIDTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n", repeated: "x"},
	{place: "trailer", first: "HTTP/1.1 200 OK\r\nIDTransfer-Encoding: chunked\r\n\r\n0\r\n", repeated: "Field: x\r\n"},
	{place: "event", first: "HTTP/1.1 200 OK\r\nIDContent-Type: text/event-stream\r\n" + endlessLength + "data: ", repeated: "x"},
	{place: "comments", first: "HTTP/1.1 200 OK\r\nIDContent-Type: text/event-stream\r\n" + endlessLength, repeated: ": x\n"},
}

// drawEndless returns the answer without end that is sent in place of a whole one, nil for most.
func drawEndless() *endlessAnswer {
	if rand.IntN(100) >= endlessPercent {
		return nil
	}
	return &endlessAnswers[rand.IntN(len(endlessAnswers))]
}

// send sends the answer to a request until its connection is closed.
func (e *endlessAnswer) send(w http.ResponseWriter, replica, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	headers := strings.NewReplacer("ID", fmt.Sprintf("%s: %s\r\n%s: %s.%s\r\n", idHeader, id, stampHeader, replica, id), "OTHER", idHeader+": other\r\n")
	if id == "" {
		headers = strings.NewReplacer("ID", "", "OTHER", idHeader+": other\r\n")
	}
	if _, err := io.WriteString(conn, headers.Replace(e.first)); err != nil {
		return
	}
	repeated := strings.Repeat(e.repeated, endlessChunkBytes/len(e.repeated))
	for end := time.Now().Add(endlessTime); time.Now().Before(end); time.Sleep(endlessStep) {
		if _, err := io.WriteString(conn, repeated); err != nil {
			return
		}
	}
}
