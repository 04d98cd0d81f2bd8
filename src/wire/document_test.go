package wire

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

func TestUnpackReversesPack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := rapid.SliceOf(rapid.Byte()).Draw(t, "raw")
		got, err := Unpack(Pack(raw))
		if err != nil || !bytes.Equal(got, raw) {
			t.Fatalf("unpacked %v as %v, %v", raw, got, err)
		}
	})
}

func TestUnpackRejectsTruncatedInput(t *testing.T) {
	packed := Pack(bytes.Repeat([]byte("route "), 100))
	if _, err := Unpack(packed[:len(packed)/2]); err == nil {
		t.Error("Unpack accepted a truncated configuration")
	}
}
