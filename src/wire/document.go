package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/registry"
)

// maxUnpacked is the maximum size in bytes of an uncompressed configuration.
const maxUnpacked = 64 << 20

// Pack compresses a configuration. It is logged, stored and sent in this form.
func Pack(raw []byte) []byte {
	var packed bytes.Buffer
	// These calls cannot fail: the level is valid, and writes to a buffer always succeed.
	w, _ := flate.NewWriter(&packed, flate.BestSpeed)
	_, _ = w.Write(raw)
	_ = w.Close()
	return packed.Bytes()
}

// Unpack reverses Pack.
func Unpack(packed []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpacking a configuration")
	}
	if len(raw) > maxUnpacked {
		return nil, errors.Errorf("the configuration has more than %d bytes", maxUnpacked)
	}
	return raw, nil
}

// DocumentRequest asks to put a complete configuration into effect under a version.
type DocumentRequest struct {
	Version uint64 `json:"version"`
	// Packed is the configuration as Pack returns it.
	Packed []byte `json:"packed"`
}

// DocumentReply is the reply to a DocumentRequest. Version is the one now in effect.
type DocumentReply struct {
	Outcome Outcome `json:"outcome"`
	Version uint64  `json:"version"`
	Reason  string  `json:"reason,omitempty"`
}

// Document is a complete configuration as the operator sent it. Known is false
// if the responding node has none or cannot confirm that it is the newest.
type Document struct {
	Known   bool   `json:"known"`
	Version uint64 `json:"version"`
	Packed  []byte `json:"packed,omitempty"`
}

// FeedRequest subscribes to a control node's feed.
type FeedRequest struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Gateway is set by gateways. They receive the combined state of all control nodes.
	// Control nodes receive only what was reported to this node directly.
	Gateway bool `json:"gateway,omitempty"`
	// Peer is the gateway's state for other gateways, nil if it accepts no forwarded requests.
	Peer *GatewayPeer `json:"peer,omitempty"`
}

// FeedUpdate is sent by a control node to its subscribers shortly after a change,
// and otherwise periodically as a keepalive.
type FeedUpdate struct {
	// Node and Zone are set in the first update of a stream.
	Node string `json:"node,omitempty"`
	Zone string `json:"zone,omitempty"`
	// Version is the newest configuration the node has applied.
	Version uint64 `json:"version,omitempty"`
	// Full is set in the first update of a stream: Standings is then complete.
	Full      bool                     `json:"full,omitempty"`
	Standings []registry.ReplicaStatus `json:"standings,omitempty"`
	// Members lists the control nodes if they changed.
	Members []Member `json:"members,omitempty"`
	// Leading is set by the leader, which places models.
	Leading bool `json:"leading,omitempty"`
	// Detached is set while the node cannot reach a majority of the control nodes, or lags
	// behind them. A gateway then follows another node as well.
	Detached bool `json:"detached,omitempty"`
	// Uncertain is set if the node has been unable for a long time to confirm that its configuration is
	// the newest, for example without a leader.
	Uncertain bool `json:"uncertain,omitempty"`
	// ConfirmedMS is the time in milliseconds, at least 1, since the configuration was last confirmed to be
	// the newest. It is 0 if it was not confirmed since the node started.
	ConfirmedMS int64 `json:"confirmed_ms,omitempty"`
	// Gateways is the number of gateways that follow the node. In updates for gateways it is the
	// total number of gateways.
	Gateways int `json:"gateways,omitempty"`
	// Holdings is the leader's knowledge of model copies beyond what replicas have reported.
	Holdings *Holdings `json:"holdings,omitempty"`
	// Quarantine lists the suspected and quarantined contents that the node knows, if they changed.
	Quarantine *Quarantine `json:"quarantine,omitempty"`
	// ShortCloses lists the software that the node knows to close short, if that changed.
	ShortCloses *ShortCloses `json:"short_closes,omitempty"`
	// Drains lists the drained zones if they changed.
	Drains *ZoneDrains `json:"drains,omitempty"`
	// Peers lists gateways if they changed: those that follow the node, or in updates for gateways those
	// that requests can be forwarded to.
	Peers *GatewayList `json:"peers,omitempty"`
}

// Member is a control node.
type Member struct {
	Address string `json:"address"`
	// Zone is "" if unknown.
	Zone string `json:"zone,omitempty"`
}

// NoteRequest reports the departure of a replica to a control node.
type NoteRequest struct {
	Record registry.Record `json:"record"`
}

// Usage is the demand for models since the last report.
type Usage struct {
	// Node is the gateway, or the control node that aggregates the reports of its gateways.
	Node   string  `json:"node"`
	Models []Asked `json:"models"`
	// Zone is the availability zone of the gateways, "" if the sender does not say it.
	Zone string `json:"zone,omitempty"`
}

// Asked is the demand for one model or adapter.
type Asked struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Requests is the number of requests since the last report.
	Requests int `json:"requests"`
	// Tokens is the work of these requests: prompt tokens plus weighted generated tokens.
	Tokens int `json:"tokens,omitempty"`
	// WorkMS is how long the requests occupy a whole replica, in milliseconds. It is 0 where work is
	// not estimated.
	WorkMS float64 `json:"work,omitempty"`
	// Missing is the number of requests for which no copy was available.
	Missing int `json:"missing,omitempty"`
}

// AppliedState is what a control node has applied, all of which is committed.
type AppliedState struct {
	// ID is the node's Raft ID, Voters the sorted IDs of the voters in the node's log.
	ID     string   `json:"id"`
	Voters []string `json:"voters"`
	// Version is the version of the configuration, Drains the revision of the drained zones.
	Version uint64 `json:"version,omitempty"`
	Drains  uint64 `json:"drains,omitempty"`
}
