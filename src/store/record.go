package store

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/raft"
)

// record is a single write to the log file, protected by one checksum. If any part of it is
// torn, the whole record is dropped, since it was never acknowledged.
type record struct {
	HardState *raft.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []raft.Entry    `cbor:"2,keyasint,omitempty"`
}

// headerSize is the size in bytes of the length and checksum before each record.
const headerSize = 8

// maxRecord is the maximum record size in bytes. A larger length is treated as corruption.
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

// nextFrame returns the body of the first frame and the data after it. ok is false
// if the data does not start with a complete frame with a valid checksum.
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
