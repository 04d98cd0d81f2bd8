package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	// slowBodyTime is the time from the first byte of a body that is sent over time to its last one.
	slowBodyTime = 1200 * time.Millisecond
	// briefBodyTime is that time beside signals that are learned late.
	briefBodyTime = 600 * time.Millisecond
	// bodyPartCount is how many parts such a body has.
	bodyPartCount = 6
	// smallBodyBytes and largeBodyBytes are the lengths of bodies. A large one is more than the buffers of a
	// connection hold, and less than the configured limit.
	smallBodyBytes = 300
	largeBodyBytes = 1_000_000
	// largeBodyPercent is the share of the bodies that are large.
	largeBodyPercent = 12
	// bodySizeHeader holds the length of a body that a replica must read whole.
	bodySizeHeader = "Soak-Body-Bytes"
	// lastChunk ends a body in chunks.
	lastChunk = "0\r\n\r\n"
)

// bodyPlan is how a client sends the body of a request.
type bodyPlan struct {
	bytes int
	// chunked is set if the body comes in chunks, without a length.
	chunked bool
	// duration is the time from the first byte to the last one, 0 if the body is sent at once.
	duration time.Duration
	// lateEnd is set if all but the end is sent at once: the last byte, or the empty chunk that ends the body.
	lateEnd bool
	// readsLast is set if the client reads nothing before it has sent the whole body.
	readsLast bool
	// kept is set if the request is sent on a connection that earlier requests may have used.
	kept bool
}

// drawBodyPlan draws how a body is sent: half in chunks, half over time, if slow bodies are wanted, and a third of
// those with a late end. Three in four are sent on kept connections, and three in four by clients that read while
// they write.
func drawBodyPlan(random *rand.Rand, slow bool) bodyPlan {
	p := bodyPlan{bytes: smallBodyBytes, chunked: random.IntN(2) == 0, readsLast: random.IntN(4) == 0, kept: random.IntN(4) > 0}
	if random.IntN(2) == 0 && slow {
		p.duration = slowBodyTime
	}
	p.lateEnd = random.IntN(3) == 0 && p.duration > 0
	if random.IntN(100) < largeBodyPercent {
		p.bytes = largeBodyBytes
	}
	return p
}

// bodyPart is a part of a body as it goes over the connection, and when it is sent after the first byte.
type bodyPart struct {
	after time.Duration
	bytes string
}

// body returns a request's body. Its first line is what a replica answers.
func (p bodyPlan) body(id string) string {
	text := "body of " + id + "\n"
	return text + strings.Repeat(".", max(p.bytes-len(text), 0))
}

// parts returns what is sent of a body, in order.
func (p bodyPlan) parts(id string) []bodyPart {
	rest, parts := p.body(id), []bodyPart(nil)
	add := func(after time.Duration, n int) {
		text := rest[:n]
		if rest = rest[n:]; p.chunked && n > 0 {
			text = fmt.Sprintf("%x\r\n%s\r\n", n, text)
		}
		parts = append(parts, bodyPart{after: after, bytes: text})
	}
	switch {
	case p.duration == 0:
		add(0, len(rest))
	case p.lateEnd && p.chunked:
		add(0, len(rest))
		add(p.duration, 0)
	case p.lateEnd:
		add(0, len(rest)-1)
		add(p.duration, 1)
	default:
		size := len(rest) / bodyPartCount
		for i := range bodyPartCount - 1 {
			add(p.duration*time.Duration(i)/(bodyPartCount-1), size)
		}
		add(p.duration, len(rest))
	}
	if p.chunked {
		parts[len(parts)-1].bytes += lastChunk
	}
	return parts
}

// header returns the header that says where the body ends.
func (p bodyPlan) header() string {
	if p.chunked {
		return "Transfer-Encoding: chunked\r\n"
	}
	return fmt.Sprintf("Content-Length: %d\r\n", p.bytes)
}

// String describes the plan.
func (p bodyPlan) String() string {
	text := fmt.Sprintf("%d bytes", p.bytes)
	if p.chunked {
		text += " in chunks"
	}
	switch {
	case p.lateEnd:
		text += fmt.Sprintf(", the end after %s", p.duration)
	case p.duration > 0:
		text += fmt.Sprintf(" over %s", p.duration)
	}
	if p.readsLast {
		text += ", read last"
	}
	if p.kept {
		text += ", kept connection"
	}
	return text
}
