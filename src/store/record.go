package store

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/raft"
)

// record is one write of the log file. All of a write is one record with one
// checksum: a write that was torn anywhere was never confirmed, so it goes whole.
type record struct {
	HardState *raft.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []raft.Entry    `cbor:"2,keyasint,omitempty"`
}

// headerSize is the length and the checksum before each record.
const headerSize = 8

// maxRecord bounds a record, so that a damaged length is not believed.
const maxRecord = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendRecord(buf []byte, r record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return buf, errors.Wrap(err, "encoding a log record")
	}
	return appendFrame(buf, body), nil
}

func appendFrame(buf, body []byte) []byte {
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(body)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(body, castagnoli))
	return append(buf, body...)
}

// nextFrame returns the first frame's body and the bytes after it; ok is false
// when the bytes do not start with a whole, sound frame.
func nextFrame(data []byte) (body, rest []byte, ok bool) {
	if len(data) < headerSize {
		return nil, data, false
	}
	length := binary.LittleEndian.Uint32(data)
	sum := binary.LittleEndian.Uint32(data[4:])
	if length == 0 || length > maxRecord || int(length) > len(data)-headerSize {
		return nil, data, false
	}
	body = data[headerSize : headerSize+int(length)]
	if crc32.Checksum(body, castagnoli) != sum {
		return nil, data, false
	}
	return body, data[headerSize+int(length):], true
}
