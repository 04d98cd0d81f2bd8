package main

import (
	"sync"
	"time"
)

// pause holds up what a replica does, as a pause of its process does: its open connections live on, and
// it goes on where it was. It is safe for concurrent use.
type pause struct {
	mu sync.Mutex
	// over is closed at the end of the current pause, nil while there is none.
	over chan struct{}
	// accepting is set if only the accepting of connections is paused.
	accepting bool
	// killed is closed once the process has ended, in a pause or not.
	killed chan struct{}
	// spans are all pauses, the last of which may be under way.
	spans []pauseSpan
}

// pauseSpan is the time of a pause; to is the zero time while it is under way.
type pauseSpan struct{ from, to time.Time }

// begin begins a pause of everything or of accepting alone. It reports false if one is under way.
func (p *pause) begin(accepting bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over != nil {
		return false
	}
	p.over, p.accepting = make(chan struct{}), accepting
	p.spans = append(p.spans, pauseSpan{from: time.Now()})
	return true
}

func (p *pause) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over == nil {
		return
	}
	close(p.over)
	p.over, p.spans[len(p.spans)-1].to = nil, time.Now()
}

// newPause returns the pauses of a process that has started.
func newPause() *pause { return &pause{killed: make(chan struct{})} }

// kill ends the process, also in the middle of a pause.
func (p *pause) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isKilled() {
		close(p.killed)
	}
}

// isKilled reports whether the process has ended.
func (p *pause) isKilled() bool {
	select {
	case <-p.killed:
		return true
	default:
		return false
	}
}

// paused reports whether the whole process is paused.
func (p *pause) paused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.over != nil && !p.accepting
}

// active reports whether a pause of everything or of accepting is under way.
func (p *pause) active() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.over != nil
}

// describe describes the pauses between two times.
func (p *pause) describe(from, to time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	const layout = "15:04:05.000"
	text := "not paused meanwhile"
	for i, span := range p.spans {
		if span.from.After(to) || !span.to.IsZero() && span.to.Before(from) {
			continue
		}
		if text = "paused from " + span.from.Format(layout); i < len(p.spans)-1 || p.over == nil {
			text += " to " + span.to.Format(layout)
		}
	}
	return text
}

// endedWithin reports whether a pause ended within the last time.
func (p *pause) endedWithin(last time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.over == nil && len(p.spans) > 0 && time.Since(p.spans[len(p.spans)-1].to) < last
}

// activeAt reports whether the whole process was paused at a time.
func (p *pause) activeAt(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, span := range p.spans {
		ended := i < len(p.spans)-1 || p.over == nil
		if !at.Before(span.from) && (!ended || at.Before(span.to)) {
			return !p.accepting
		}
	}
	return false
}

// activeBetween reports whether the whole process or its accepting was paused at some time from one to another.
func (p *pause) activeBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, span := range p.spans {
		ended := i < len(p.spans)-1 || p.over == nil
		if !span.from.After(to) && (!ended || span.to.After(from)) {
			return true
		}
	}
	return false
}

// wait waits while the whole process is paused and lives. It reports whether it was paused.
func (p *pause) wait() bool {
	p.mu.Lock()
	over := p.over
	if p.accepting {
		over = nil
	}
	p.mu.Unlock()
	if over == nil {
		return false
	}
	select {
	case <-over:
	case <-p.killed:
	}
	return true
}

// waitToAccept waits while the process accepts no connections and lives.
func (p *pause) waitToAccept() {
	p.mu.Lock()
	over := p.over
	p.mu.Unlock()
	if over == nil {
		return
	}
	select {
	case <-over:
	case <-p.killed:
	}
}
