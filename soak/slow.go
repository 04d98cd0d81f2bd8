package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// slowClientsPerGateway is how many clients of each gateway read long answers late.
	slowClientsPerGateway = 6
	// longAnswerBytes is the length of such an answer, more than a connection's buffers hold.
	longAnswerBytes = 600 << 10
	// readDelay is how long such a client waits before it reads; it is shorter than the request's
	// deadline.
	readDelay = 1500 * time.Millisecond
	// slowClientPause is the pause between two requests of such a client.
	slowClientPause = 300 * time.Millisecond
	// slowReadBuffer is the client's receive buffer in bytes.
	slowReadBuffer = 64 << 10
	// memoryInterval is the interval at which gateways' memory is checked, maxMemoryMB what each may
	// use.
	memoryInterval = 500 * time.Millisecond
	maxMemoryMB    = 200
)

// longBody returns the long answer to a request.
func longBody(id string) string {
	line := id + " "
	return strings.Repeat(line, longAnswerBytes/len(line))
}

// readSlowly requests long answers one at a time and reads each late. An answer that arrives whole
// must be the right one; one that misses its deadline may be cut off.
func (c *clients) readSlowly(ctx context.Context, m *member) {
	defer c.work.Done()
	dialer := net.Dialer{Timeout: time.Second}
	client := &http.Client{Timeout: 2 * clientTimeout, Transport: &http.Transport{
		DisableKeepAlives: true,
		ReadBufferSize:    slowReadBuffer,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return conn, conn.(*net.TCPConn).SetReadBuffer(slowReadBuffer)
		},
	}}
	for ctx.Err() == nil {
		time.Sleep(slowClientPause)
		c.readLongAnswer(client, m)
	}
}

// readLongAnswer sends one request and reads its answer late.
func (c *clients) readLongAnswer(client *http.Client, m *member) {
	id := c.id()
	request, err := http.NewRequest(http.MethodGet, "http://"+c.in.proxyAddress(m, c.in.callPort())+"/l/x", nil)
	if err != nil {
		return
	}
	request.Host = "a.example"
	request.Header.Set(idHeader, id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	request.Header.Set(keyHeader, mainKey)
	request, lastByteAt := withLastByteTime(request)
	end := endedAnswer{id: id, kind: "l", gateway: m.name, firstByteAt: time.Now()}
	got, err := client.Do(request)
	if err != nil {
		end.endedAt, end.lastByteAt = time.Now(), lastByteAt()
		c.check.lost.recordAnswer(end, false)
		return
	}
	defer got.Body.Close()
	end.stamp = got.Header.Get(stampHeader)
	if got.StatusCode != http.StatusOK {
		end.endedAt, end.lastByteAt, end.status = time.Now(), lastByteAt(), got.StatusCode
		c.check.lost.recordAnswer(end, true)
		c.check.count("slow clients refused")
		return
	}
	time.Sleep(readDelay)
	body, err := io.ReadAll(io.LimitReader(got.Body, maxAnswerBytes))
	end.endedAt, end.lastByteAt, end.status = time.Now(), lastByteAt(), got.StatusCode
	c.check.lost.recordAnswer(end, err == nil && string(body) == longBody(id))
	switch {
	case err != nil || len(body) == maxAnswerBytes:
		c.check.count("slow answers broken off")
	case !framed(got) && string(body) != longBody(id) && mayBeCutOff("l", string(body), longBody(id)):
		c.check.count(cutOffAnswers)
	case string(body) != longBody(id):
		c.check.fail("mixed", "the long answer to %s has %d bytes and is not its own", id, len(body))
	default:
		c.check.count("slow answers")
	}
}

// watchMemory checks that no gateway uses more memory than its limit.
func (in *installation) watchMemory(ctx context.Context, check *checker) {
	for ctx.Err() == nil {
		time.Sleep(memoryInterval)
		for _, m := range in.gatewayNodes() {
			if taken := m.residentKB(); taken > maxMemoryMB<<10 {
				check.fail("memory", "%s takes %d MB", m.name, taken>>10)
			}
		}
	}
}

// residentKB returns the resident memory of the member's process in kilobytes, 0 while it does not
// run.
func (m *member) residentKB() int {
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
