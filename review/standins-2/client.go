//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const hostName = "desk.example"

// attempt is one request of a client and what came of it.
type attempt struct {
	id      string
	gateway string
	sentAt  time.Time
	endedAt time.Time
	status  int
	err     string
}

// load sends requests to gateways and keeps what came of them.
type load struct {
	in   *installation
	path string

	mu       sync.Mutex
	attempts map[string]*attempt
	number   int
	clients  map[string]*http.Client
	// pick returns the gateway of the next request; nil means the gateways in turn.
	pick    func() int
	running sync.WaitGroup
}

func newLoad(in *installation, path string) *load {
	l := &load{in: in, path: path, attempts: map[string]*attempt{}, clients: map[string]*http.Client{}}
	for _, g := range in.gateways {
		address := in.clientAddress(g)
		l.clients[g.name] = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
		}, MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second, DisableCompression: true}}
	}
	return l
}

// wave sends a number of requests within a time, to the gateways in turn, and does not wait for the answers.
func (l *load) wave(count int, within time.Duration) {
	began := time.Now()
	for i := range count {
		to := l.number % len(l.in.gateways)
		if l.pick != nil {
			to = l.pick()
		}
		g := l.in.gateways[to]
		l.running.Add(1)
		go func(number int) {
			defer l.running.Done()
			l.send(l.clients[g.name], g.name, number)
		}(l.number)
		l.number++
		time.Sleep(time.Until(began.Add(within * time.Duration(i+1) / time.Duration(count))))
	}
}

// steady sends requests at a rate for a time.
func (l *load) steady(perSecond int, duration time.Duration) {
	l.wave(int(duration.Seconds()*float64(perSecond)), duration)
}

func (l *load) send(client *http.Client, gateway string, number int) {
	a := &attempt{id: fmt.Sprintf("%016x", 0x5000+number), gateway: gateway, sentAt: time.Now()}
	l.mu.Lock()
	l.attempts[a.id] = a
	l.mu.Unlock()
	status, err := do(client, gateway, a.id, l.path, []byte(a.id))
	l.mu.Lock()
	defer l.mu.Unlock()
	a.endedAt, a.status = time.Now(), status
	if err != nil {
		a.err = err.Error()
	}
}

// do sends one request and reads its answer.
func do(client *http.Client, gateway, id, path string, body []byte) (int, error) {
	const deadline = 4 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+hostName+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set(headerVia, gateway)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// end waits for the last answers and returns all attempts by their IDs.
func (l *load) end() map[string]*attempt {
	l.running.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts
}
