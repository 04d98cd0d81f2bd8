package main

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// impairment is what a proxy does to the traffic through it.
type impairment struct {
	delay time.Duration
	// blockInbound holds back bytes sent to the process, blockOutbound bytes sent by it.
	blockInbound  bool
	blockOutbound bool
}

// proxy forwards connections to a process's listening address.
type proxy struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	impairment impairment
	changed    chan struct{}
	conns      map[net.Conn]bool
}

func newProxy(listen, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(outer net.Conn) {
	inner, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		// A process that is down refuses connections; its proxy does the same.
		resetConnection(outer)
		return
	}
	p.track(outer, inner)
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		p.copy(inner, outer, func(t impairment) bool { return t.blockInbound })
	}()
	go func() {
		defer both.Done()
		p.copy(outer, inner, func(t impairment) bool { return t.blockOutbound })
	}()
	both.Wait()
	p.mu.Lock()
	delete(p.conns, outer)
	delete(p.conns, inner)
	p.mu.Unlock()
	_ = outer.Close()
	_ = inner.Close()
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		p.conns[conn] = true
	}
}

// copy forwards bytes subject to the impairment. The way a connection ends is preserved: a
// half-close stays a half-close, a reset stays a reset.
func (p *proxy) copy(to, from net.Conn, blocked func(impairment) bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.waitUntilPassable(blocked)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				resetConnection(from)
				return
			}
		}
		if err == io.EOF {
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		}
		if err != nil {
			resetConnection(to)
			return
		}
	}
}

// waitUntilPassable waits while the direction is blocked, then for the delay.
func (p *proxy) waitUntilPassable(blocked func(impairment) bool) {
	for {
		p.mu.Lock()
		t, changed := p.impairment, p.changed
		p.mu.Unlock()
		if !blocked(t) {
			time.Sleep(t.delay)
			return
		}
		<-changed
	}
}

func (p *proxy) set(t impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.impairment = t
	close(p.changed)
	p.changed = make(chan struct{})
}

// resetSome resets a share of the connections.
func (p *proxy) resetSome(share float64, random *rand.Rand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if random.Float64() < share {
			resetConnection(conn)
		}
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(impairment{})
	p.resetSome(1, rand.New(rand.NewPCG(1, 1)))
}

func resetConnection(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
