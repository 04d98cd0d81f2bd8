package exchange

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// lastBlankLine returns the offset after the last blank line, found by looking at all lines.
func lastBlankLine(data []byte) int {
	end := 0
	for rest := data; len(rest) > 0; {
		line, after, ended := nextLine(rest)
		if ended && len(line) == 0 {
			end = len(data) - len(after)
		}
		rest = after
	}
	return end
}

func TestEventsAreFoundHoweverTheirDataArrives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chunks := rapid.SliceOf(rapid.StringOfN(rapid.SampledFrom([]rune{'\r', '\n', 'x', ':'}), 0, 6, -1)).Draw(t, "chunks")
		buffer := &eventBuffer{}
		var pending []byte
		for _, chunk := range chunks {
			pending = append(pending, chunk...)
			end := lastBlankLine(pending)
			events := buffer.add([]byte(chunk))
			if !bytes.Equal(events, pending[:end]) {
				t.Fatalf("events %q after %q, %q were to be expected", events, chunk, pending[:end])
			}
			pending = pending[end:]
			if !bytes.Equal(buffer.data, pending) {
				t.Fatalf("%q is pending after %q, %q was to be expected", buffer.data, chunk, pending)
			}
		}
	})
}

// TestAnEventIsSearchedOnce: an event of 1 MB in reads of 4 KB was searched for its end from its start at each
// read, 128 MB in all.
func TestAnEventIsSearchedOnce(t *testing.T) {
	for _, piece := range []string{strings.Repeat("x", 4096), strings.Repeat("data: x\n", 512), strings.Repeat(": comment\r\n", 400)} {
		is := is.New(t)
		buffer := &eventBuffer{}
		for range 256 {
			is.Equal(len(buffer.add([]byte(piece))), 0)
			is.Equal(buffer.searched, buffer.len())
		}
		is.True(len(buffer.add([]byte("\n\n"))) > 0)
		is.True(cap(buffer.data) <= maxSpareBufferBytes) // the buffer does not keep its size
	}
}

func BenchmarkLargeEvent(b *testing.B) {
	piece := []byte(strings.Repeat("data: x\n", 512))
	for b.Loop() {
		stream := &eventStream{}
		for range 256 {
			stream.appendData(piece)
		}
	}
}

func BenchmarkSmallEvents(b *testing.B) {
	piece := []byte("id: 12\ndata: {\"text\": \"some words\"}\n\n")
	stream := &eventStream{}
	for b.Loop() {
		stream.appendData(piece)
	}
}
