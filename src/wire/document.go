package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/registry"
)

// maxUnpacked bounds what a packed configuration may unpack to.
const maxUnpacked = 64 << 20

// Pack compresses a configuration: log, disks and links carry it packed.
func Pack(raw []byte) []byte {
	var packed bytes.Buffer
	// Neither call can fail: the level is valid and a buffer takes every byte.
	w, _ := flate.NewWriter(&packed, flate.BestSpeed)
	_, _ = w.Write(raw)
	_ = w.Close()
	return packed.Bytes()
}

// Unpack returns what Pack was given.
func Unpack(packed []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked))
	return raw, errors.Wrap(err, "unpacking a configuration")
}

// DocumentRequest asks for a whole configuration to be put in force under a version.
type DocumentRequest struct {
	Version uint64 `json:"version"`
	// Packed is the configuration as Pack returns it.
	Packed []byte `json:"packed"`
}

// DocumentReply says what became of it; Version is the one in force now.
type DocumentReply struct {
	Outcome Outcome `json:"outcome"`
	Version uint64  `json:"version"`
	Reason  string  `json:"reason,omitempty"`
}

// Document is a whole configuration as its operator sent it; Known is false
// when the node asked can't be sure of the newest or has none.
type Document struct {
	Known   bool   `json:"known"`
	Version uint64 `json:"version"`
	Packed  []byte `json:"packed,omitempty"`
}

// FeedRequest asks for a control node's feed.
type FeedRequest struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Gateway is set by gateways, which are told what all control nodes know together.
	// Control nodes are told what the node itself was told.
	Gateway bool `json:"gateway,omitempty"`
}

// FeedUpdate is what a control node tells its subscribers, soon after something
// changed and else as a sign of life.
type FeedUpdate struct {
	// Node and Zone are told on the first update of a stream.
	Node string `json:"node,omitempty"`
	Zone string `json:"zone,omitempty"`
	// Version is the newest configuration that the node has applied.
	Version uint64 `json:"version,omitempty"`
	// Full is set on the first update of a stream: Standings is all there is.
	Full      bool                `json:"full,omitempty"`
	Standings []registry.Standing `json:"standings,omitempty"`
	// Members are the control nodes, when they changed.
	Members []Member `json:"members,omitempty"`
	// Leading is set by the node that leads: it places models.
	Leading bool `json:"leading,omitempty"`
	// Detached is set while the node reaches no majority of the control nodes, or lags
	// behind them: a gateway follows another one beside it.
	Detached bool `json:"detached,omitempty"`
	// Uncertain is set while the node has not known for long that its configuration is the
	// newest, as without a leader.
	Uncertain bool `json:"uncertain,omitempty"`
	// ConfirmedMS is how long ago the node knew that, in ms and at least 1; 0 if it has not
	// known it since it began.
	ConfirmedMS int64 `json:"confirmed_ms,omitempty"`
	// Gateways is the number of gateways that follow the node; for gateways the
	// number of all.
	Gateways int `json:"gateways,omitempty"`
	// Holdings are what the placing node knows beyond the replicas' own words.
	Holdings *Holdings `json:"holdings,omitempty"`
	// Quarantine is what the node knows of contents under which replicas ended, when it changed.
	Quarantine *Quarantine `json:"quarantine,omitempty"`
	// Drains are the drained zones, when they changed.
	Drains *ZoneDrains `json:"drains,omitempty"`
}

// Member is a control node.
type Member struct {
	Address string `json:"address"`
	// Zone is "" if it is not known.
	Zone string `json:"zone,omitempty"`
}

// NoteRequest tells of a replica that leaves.
type NoteRequest struct {
	Record registry.Record `json:"record"`
}

// Usage is what requests asked for since the last report.
type Usage struct {
	// Node is the gateway, or the control node that adds up its gateways' reports.
	Node   string  `json:"node"`
	Models []Asked `json:"models"`
}

// Asked is the demand for one model or adapter.
type Asked struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Requests is the number of requests since the last report.
	Requests int `json:"requests"`
	// Tokens is their work: prompt tokens and, weighted, tokens generated.
	Tokens int `json:"tokens,omitempty"`
	// Missing is the number of requests that found no copy.
	Missing int `json:"missing,omitempty"`
}
