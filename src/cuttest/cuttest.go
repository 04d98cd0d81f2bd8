// Package cuttest provides answers that were cut off, and a server that gives them, for tests.
package cuttest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// Ending is what a server does after the last byte of an answer.
type Ending int

const (
	// Close closes the connection in order, as the host of a process that ended does.
	Close Ending = iota
	// Reset resets the connection.
	Reset
	// Hold leaves the connection open and sends nothing more.
	Hold
	// Serve reads the next request.
	Serve
)

// Answer is an HTTP answer that can be cut off.
type Answer struct {
	// Name describes how the answer is framed.
	Name string
	Head string
	// Body is the body as it is sent.
	Body string
	// Content is the body without its framing.
	Content string
	// ToTheClose is set if the body ends with its connection.
	ToTheClose bool
}

// Text returns the whole answer.
func (a Answer) Text() string { return a.Head + a.Body }

// Folded is the name of the answer with a folded field, which senders must not send.
const Folded = "folded field"

// Answers returns answers with the given status, header fields and content, one for each framing. Each field
// ends with a line break.
func Answers(status, fields, content string) []Answer {
	length := "Content-Length: " + strconv.Itoa(len(content)) + "\r\n"
	chunks := chunk(content) + "0\r\n\r\n"
	head := func(protocol, more string) string { return protocol + " " + status + "\r\n" + fields + more + "\r\n" }
	answers := []Answer{
		{Name: "length", Head: head("HTTP/1.1", length), Body: content},
		{Name: "length first", Head: "HTTP/1.1 " + status + "\r\n" + length + fields + "\r\n", Body: content},
		{Name: "chunks", Head: head("HTTP/1.1", "Transfer-Encoding: chunked\r\n"), Body: chunks},
		{Name: "neither", Head: head("HTTP/1.1", ""), Body: content, ToTheClose: true},
		{Name: "HTTP/1.0", Head: head("HTTP/1.0", ""), Body: content, ToTheClose: true},
		{Name: Folded, Head: head("HTTP/1.1", "Folded: a\r\n b\r\n"+length), Body: content},
	}
	answers = append(answers, Answer{Name: "bare line feeds", Head: strings.ReplaceAll(answers[0].Head, "\r\n", "\n"), Body: content})
	for i := range answers {
		answers[i].Content = content
	}
	return answers
}

// Whole returns the answer as it is. Its connection serves further requests unless the body ends with it.
func (a Answer) Whole() Cut {
	if a.ToTheClose {
		return Cut{Text: a.Text(), Ending: Close}
	}
	return Cut{Text: a.Text(), Ending: Serve}
}

// chunk returns content as one chunk.
func chunk(content string) string {
	return strconv.FormatInt(int64(len(content)), 16) + "\r\n" + content + "\r\n"
}

// Cut is an answer that was cut off.
type Cut struct {
	Text   string
	Ending Ending
	// InBody is set if the head is whole.
	InBody bool
	// Unproven is set if nothing shows that the answer is incomplete: its head is whole, and its body ends
	// with its connection, which was closed in order.
	Unproven bool
}

// String describes the cut for an error message.
func (c Cut) String() string { return fmt.Sprintf("%q, ending %d", c.Text, c.Ending) }

// interim are heads that precede an answer.
var interim = []string{
	"HTTP/1.1 100 Continue\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
}

// Interim returns the answer after each combination of interim heads.
func (a Answer) Interim() []Answer {
	var answers []Answer
	for _, heads := range interim {
		after := a
		after.Name, after.Head = "interim heads, "+a.Name, heads+a.Head
		answers = append(answers, after)
	}
	return answers
}

// Incomplete returns the answers of Answers, and further ones with interim heads and trailers, cut at every
// byte.
func Incomplete(status, fields, content string) []Cut {
	answers := Answers(status, fields, content)
	answers = append(answers, answers[0].Interim()...)
	half := len(content) / 2
	answers = append(answers, Answer{
		Head: "HTTP/1.1 " + status + "\r\n" + fields + "Transfer-Encoding: chunked\r\nTrailer: Late\r\n\r\n",
		Body: chunk(content[:half]) + chunk(content[half:]) + "0\r\nLate: field\r\n\r\n",
	})
	var cuts []Cut
	for _, a := range answers {
		text := a.Text()
		for i := range text {
			inBody := i >= len(a.Head)
			cuts = append(cuts,
				Cut{Text: text[:i], Ending: Close, InBody: inBody, Unproven: inBody && a.ToTheClose},
				Cut{Text: text[:i], Ending: Reset, InBody: inBody})
		}
		if a.ToTheClose {
			cuts = append(cuts, Cut{Text: text, Ending: Reset, InBody: true})
		}
	}
	return append(cuts, Malformed(fields)...)
}

// Held returns answers that stop after some of their bytes on a connection that stays open.
func Held(status, fields, content string) []Cut {
	var cuts []Cut
	for _, a := range Answers(status, fields, content) {
		for _, n := range []int{0, len("HTTP/1.1 200"), len(a.Head) - 2, len(a.Head), len(a.Head) + len(a.Body)/2} {
			cuts = append(cuts, Cut{Text: a.Text()[:n], Ending: Hold, InBody: n >= len(a.Head)})
		}
	}
	for _, heads := range interim {
		cuts = append(cuts, Cut{Text: heads, Ending: Hold})
	}
	return cuts
}

// Malformed returns heads that look whole and are none.
func Malformed(fields string) []Cut {
	var cuts []Cut
	for _, text := range []string{
		"HTTP/1.1 20\r\n" + fields + "\r\n",
		"HTTP/1.1 2\r\n" + fields + "\r\n",
		"HTTP/1.1 0\r\n" + fields + "\r\n",
		"HTTP/1.1 \r\n" + fields + "\r\n",
		"HTTP/1. 200 OK\r\n" + fields + "\r\n",
		"HTTP 200 OK\r\n" + fields + "\r\n",
		"HTTP/1.1 200 OK\r\n" + fields + "Content-Len\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: x\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 12\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunke\r\n\r\nhello",
	} {
		cuts = append(cuts, Cut{Text: text, Ending: Close})
	}
	return cuts
}

// Mixed returns the answers of Answers, cut at every byte of their heads and followed by another whole one.
func Mixed(status, fields, content, other string) []Cut {
	var cuts []Cut
	for _, a := range Answers(status, fields, content) {
		for i := 1; i < len(a.Head); i++ {
			cuts = append(cuts, Cut{Text: a.Head[:i] + other, Ending: Close})
		}
	}
	return cuts
}

// Server is a server whose answer is set by a test.
type Server struct {
	Address string

	mu       sync.Mutex
	answer   func() Cut
	requests int
}

// NewServer starts a server. It stops when the test ends.
func NewServer(t testing.TB) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &Server{Address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

// Set sets the answer to the requests that follow.
func (s *Server) Set(answer Cut) { s.SetFunc(func() Cut { return answer }) }

// SetFunc sets a function that returns the answer to each of the requests that follow.
func (s *Server) SetFunc(answer func() Cut) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

// Requests returns how many requests have arrived.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

func (s *Server) next() Cut {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	return s.answer()
}

func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !s.next().Send(conn) {
			return
		}
	}
}

// Send writes the answer to a connection and ends it, up to the close, which is its caller's. It returns
// whether to read the next request.
func (c Cut) Send(conn net.Conn) bool {
	_, _ = io.WriteString(conn, c.Text)
	switch c.Ending {
	case Reset:
		_ = conn.(*net.TCPConn).SetLinger(0)
	case Hold:
		_, _ = io.Copy(io.Discard, conn)
	case Close, Serve:
	}
	return c.Ending == Serve
}
