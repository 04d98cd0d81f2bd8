package wire

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// Messages of earlier builds, which only know cold replicas.
type earlierPermitRequest struct {
	Service  string `json:"s"`
	Replica  string `json:"r"`
	WithinMS int64  `json:"w"`
}

type earlierPermitReply struct {
	Known   bool  `json:"k,omitempty"`
	Granted bool  `json:"g,omitempty"`
	WaitUS  int64 `json:"w,omitempty"`
}

// transcode encodes a message of one build and decodes it as a message of another.
func transcode(t *testing.T, from, to any) {
	t.Helper()
	raw, err := json.Marshal(from)
	if err == nil {
		err = json.Unmarshal(raw, to)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestPermitsBetweenBuilds: a request from an earlier gateway must be read as one for a cold replica
// without a limit. A reply from an earlier leader must not have Limits set, which tells the gateway that the
// leader does not enforce limits.
func TestPermitsBetweenBuilds(t *testing.T) {
	is := is.New(t)
	var request PermitRequest
	transcode(t, earlierPermitRequest{Service: "s", Replica: "r", WithinMS: 70}, &request)
	is.Equal(request, PermitRequest{Service: "s", Replica: "r", WithinMS: 70})
	var reply PermitReply
	transcode(t, earlierPermitReply{Known: true, Granted: true, WaitUS: 5}, &reply)
	is.Equal(reply, PermitReply{Known: true, Granted: true, WaitUS: 5})
	var earlier earlierPermitRequest
	transcode(t, PermitRequest{Service: "s", Replica: "r", WithinMS: 70, Warm: true, Limited: true, PerSecond: 5, FromResponse: true, Term: 2, Permit: 9}, &earlier)
	is.Equal(earlier, earlierPermitRequest{Service: "s", Replica: "r", WithinMS: 70})
	var earlierReply earlierPermitReply
	transcode(t, PermitReply{Known: true, Granted: true, WaitUS: 5, Limits: true, Limited: true, PerSecond: 5, Term: 2, Version: 3, Permit: 9}, &earlierReply)
	is.Equal(earlierReply, earlierPermitReply{Known: true, Granted: true, WaitUS: 5})
}
