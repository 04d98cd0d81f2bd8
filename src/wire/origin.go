package wire

import "github.com/moorspool/moorspool/src/resume"

// StreamOrigins are the origins of streams that a gateway has begun to pass on.
type StreamOrigins struct {
	Groups []StreamOriginGroup `json:"g"`
	// Forwarded is set by a control node that passes withdrawals on.
	Forwarded bool `json:"f,omitempty"`
}

// StreamOriginGroup holds the streams of one origin.
type StreamOriginGroup struct {
	Service string `json:"s"`
	// SoftwareVersion is "" for streams whose origin has turned out not to be certain.
	SoftwareVersion string       `json:"v"`
	Keys            []resume.Key `json:"k"`
}

// StreamOriginRequest asks for the origin of a stream.
type StreamOriginRequest struct {
	Key resume.Key `json:"k"`
	// Forwarded is set by a control node that has no record; the asked one asks no other.
	Forwarded bool `json:"f,omitempty"`
}

// StreamOriginReply is the origin of a stream; Service is "" if it is not known.
type StreamOriginReply struct {
	Service         string `json:"s,omitempty"`
	SoftwareVersion string `json:"v,omitempty"`
	// AgeMS is how long ago the origin was recorded.
	AgeMS int64 `json:"a,omitempty"`
	// Withdrawn is set if there is a record which says that the origin is not known.
	Withdrawn bool `json:"w,omitempty"`
}

// SoleVersionRequest asks for the only software version of a service.
type SoleVersionRequest struct {
	Service string `json:"s"`
	// Members are the control nodes, sorted, if one of them asks another; the asked one asks no other.
	Members []string `json:"m,omitempty"`
}

// SoleVersionReply is what all control nodes knew after they were asked, or the asked one alone if it was asked by
// another.
type SoleVersionReply struct {
	// SoftwareVersion is the only version that was listed for resume.SettleTime, "" if there is none.
	SoftwareVersion string `json:"v,omitempty"`
	// Config is the newest version of the configuration that they have applied.
	Config uint64 `json:"c,omitempty"`
}
