package exchange

import "bytes"

// maxSpareBufferBytes is the largest empty buffer that is kept for the next events.
const maxSpareBufferBytes = 64 << 10

// eventBuffer holds the data of a stream after its last complete event. The zero value is empty.
type eventBuffer struct {
	data []byte
	// lineStart is the offset of the last line, searched the offset from which on its end is looked
	// for.
	lineStart int
	searched  int
}

// add adds data and returns the complete events received so far.
func (b *eventBuffer) add(data []byte) []byte {
	b.data = append(b.data, data...)
	end := b.findEnd()
	if end == 0 {
		return nil
	}
	events := bytes.Clone(b.data[:end])
	rest := b.data[end:]
	if cap(b.data) > maxSpareBufferBytes && len(rest) <= maxSpareBufferBytes {
		b.data = bytes.Clone(rest)
	} else {
		b.data = append(b.data[:0], rest...)
	}
	b.lineStart -= end
	b.searched -= end
	return events
}

// findEnd returns the offset after the last blank line among the lines that have ended since the last
// call, or 0 if there is none.
func (b *eventBuffer) findEnd() int {
	end := 0
	for {
		at := bytes.IndexAny(b.data[b.searched:], "\r\n")
		if at < 0 {
			b.searched = len(b.data)
			return end
		}
		at += b.searched
		blank := at == b.lineStart
		if !blank && at == len(b.data)-1 && b.data[at] == '\r' {
			// A line feed that follows belongs to the same line end.
			b.searched = at
			return end
		}
		after := skipLineEnd(b.data, at)
		if blank {
			end = after
		}
		b.lineStart, b.searched = after, after
	}
}

// insideEvent reports whether the data ends inside an event. Comments that end with their line belong to
// no event.
func (b *eventBuffer) insideEvent() bool {
	for rest := b.data; len(rest) > 0; {
		line, after, ended := nextLine(rest)
		if !ended || len(line) > 0 && line[0] != ':' {
			return true
		}
		rest = after
	}
	return false
}

// take returns the data and empties the buffer.
func (b *eventBuffer) take() []byte {
	data := b.data
	*b = eventBuffer{}
	return data
}

// len returns the number of bytes in the buffer.
func (b *eventBuffer) len() int { return len(b.data) }
