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

// A configuration above the limit was cut off there without an error.
func TestUnpackRefusesWhatIsTooLarge(t *testing.T) {
	if raw, err := Unpack(Pack(make([]byte, maxUnpacked))); err != nil || len(raw) != maxUnpacked {
		t.Errorf("%d bytes, %v", len(raw), err)
	}
	if raw, err := Unpack(Pack(make([]byte, maxUnpacked+1))); err == nil {
		t.Errorf("%d bytes of %d were returned without an error", len(raw), maxUnpacked+1)
	}
}
