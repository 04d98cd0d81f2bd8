package resume

import (
	"fmt"
	"time"
)

// Evidence is how the origin of a stream is known.
type Evidence uint8

const (
	// Written means that this gateway has passed on the first event.
	Written Evidence = iota + 1
	// OwnRecord means that this gateway recorded the attempt that the client named.
	OwnRecord
	// SharedRecord means that a control node has the record of another gateway.
	SharedRecord
	// Forwarded means that another gateway forwarded the request with the origin.
	Forwarded
	// SoleVersion means that all replicas which may have begun a stream that still lasts have one version.
	SoleVersion
)

// String returns the evidence for a log line.
func (e Evidence) String() string {
	switch e {
	case Written:
		return "its first event"
	case OwnRecord:
		return "the record of this gateway"
	case SharedRecord:
		return "the record of a control node"
	case Forwarded:
		return "the gateway that forwarded it"
	case SoleVersion:
		return "the only version of the service"
	}
	return "nothing"
}

// Finding is what is known of the origin of a stream that a client takes up.
type Finding struct {
	Origin   Origin
	Evidence Evidence
	// Age is how long ago the evidence was recorded.
	Age time.Duration
}

// state is the state of a Binding.
type state uint8

const (
	// unbound means that the client holds no event.
	unbound state = iota
	// bound means that the client holds events of a known origin.
	bound
	// unresolved means that the client holds events of an unknown origin.
	unresolved
)

// Binding tells which replicas may write to one client's stream. The zero value belongs to a client
// that holds no event yet. It is not safe for concurrent use.
type Binding struct {
	state    state
	origin   Origin
	evidence Evidence
	since    time.Time
}

// Bind sets the origin of the events that the client holds. Only the first call has an effect. If the
// origin is not known, the stream can't go on anywhere.
func (b *Binding) Bind(now time.Time, origin Origin, evidence Evidence) {
	if b.state != unbound {
		return
	}
	b.state, b.origin, b.evidence, b.since = bound, origin, evidence, now
	if !origin.Known() {
		b.state = unresolved
	}
}

// Revoke makes a bound stream end where it is, after its origin has turned out not to be certain.
func (b *Binding) Revoke() {
	if b.state == bound {
		b.state = unresolved
	}
}

// Unbound reports whether the client holds no event, so that any replica may begin the stream.
func (b *Binding) Unbound() bool { return b.state == unbound }

// Unresolved reports whether the client holds events whose origin is not known.
func (b *Binding) Unresolved() bool { return b.state == unresolved }

// Allows reports whether software of an origin may write the next event.
func (b *Binding) Allows(origin Origin) bool {
	return b.state == unbound || b.state == bound && origin == b.origin
}

// Origin returns the origin of the events that the client holds, and false if there are none or it is
// not known.
func (b *Binding) Origin() (Origin, bool) { return b.origin, b.state == bound }

// Since returns when the stream was bound.
func (b *Binding) Since() time.Time { return b.since }

// Describe returns the state of the binding for a log line.
func (b *Binding) Describe(now time.Time) string {
	switch b.state {
	case bound:
		return fmt.Sprintf("bound to software %q of %s by %s, %d ms ago", b.origin.SoftwareVersion, b.origin.Service, b.evidence, now.Sub(b.since).Milliseconds())
	case unresolved:
		return "begun by software that is not known"
	}
	return "not begun"
}
