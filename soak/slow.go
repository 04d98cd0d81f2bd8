package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	// slowEach is how many clients at each gateway ask for long answers and read them late.
	slowEach = 6
	// longAnswer is the length of such an answer, more than a connection's buffers hold.
	longAnswer = 600 << 10
	// slowReads is how long such a client does not read, within its request's time.
	slowReads = 1500 * time.Millisecond
	// slowPause is how long it waits before the next one.
	slowPause = 300 * time.Millisecond
	// slowBuffer is what its host takes in without being read.
	slowBuffer = 64 << 10
	// memoryEvery is the pause between two looks at what gateways take, memoryMB what they may.
	memoryEvery = 500 * time.Millisecond
	memoryMB    = 200
)

// longBody is the answer to a request for a long one.
func longBody(id string) string {
	line := id + " "
	return strings.Repeat(line, longAnswer/len(line))
}

// readSlowly asks for long answers, one after the other, and reads each late. What arrives whole has
// to be the right one; one that does not arrive in its time may break off.
func (c *clients) readSlowly(ctx context.Context, m *member) {
	defer c.work.Done()
	dialer := net.Dialer{Timeout: time.Second}
	client := &http.Client{Timeout: 2 * deadline, Transport: &http.Transport{
		DisableKeepAlives: true,
		ReadBufferSize:    slowBuffer,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return conn, conn.(*net.TCPConn).SetReadBuffer(slowBuffer)
		},
	}}
	for ctx.Err() == nil {
		time.Sleep(slowPause)
		c.readLate(client, m)
	}
}

// readLate plays one request of a slow client.
func (c *clients) readLate(client *http.Client, m *member) {
	id := c.id()
	request, err := http.NewRequest(http.MethodGet, "http://"+c.in.outer(m, c.in.callPort())+"/l/x", nil)
	if err != nil {
		return
	}
	request.Host = "a.example"
	request.Header.Set(idHeader, id)
	request.Header.Set("X-Deadline-Ms", "3000")
	request.Header.Set(keyHeader, mainKey)
	got, err := client.Do(request)
	if err != nil {
		return
	}
	defer got.Body.Close()
	if got.StatusCode != http.StatusOK {
		c.check.count("slow clients refused")
		return
	}
	time.Sleep(slowReads)
	body, err := io.ReadAll(got.Body)
	switch {
	case err != nil:
		c.check.count("slow answers broken off")
	case string(body) != longBody(id):
		c.check.fail("mixed", "the long answer to %s has %d bytes and is not its own", id, len(body))
	default:
		c.check.count("slow answers")
	}
}

// watchMemory holds that no gateway takes more memory than it has.
func (in *installation) watchMemory(ctx context.Context, check *checker) {
	for ctx.Err() == nil {
		time.Sleep(memoryEvery)
		for _, m := range in.gatewayNodes() {
			if taken := m.memory(); taken > memoryMB<<10 {
				check.fail("memory", "%s takes %d MB", m.name, taken>>10)
			}
		}
	}
}

// memory returns what the member's process holds in memory, in kilobytes, 0 while it does not run.
func (m *member) memory() int {
	m.mu.Lock()
	process := m.process
	m.mu.Unlock()
	if process == nil || process.Process == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		var kilobytes int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); err == nil {
			return kilobytes
		}
	}
	return 0
}
