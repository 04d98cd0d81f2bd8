package endproof

import "time"

const (
	// maxSoftware bounds the memory; software beyond it is not trusted.
	maxSoftware = 1024
	// shortTTL is how long a short close is remembered: longer than most versions are in use.
	shortTTL = 7 * 24 * time.Hour
)

// Software is a version of the software of a service's backend servers.
type Software struct {
	Service string
	// Version is "" if it is not known; then nothing is recorded and no close passes.
	Version string
}

// Verdict is what a check has shown of a run that ended in order by a close.
type Verdict uint8

const (
	// WeaklyWhole means that another server's run had nothing to add and ended by a close as well.
	WeaklyWhole Verdict = iota
	// Whole means that another run had nothing to add and ended by its length or last chunk.
	Whole
	// Short means that a later run went on with an event.
	Short
	// BrokenOff means that a server closed in order a response that it had framed before its end. It would have
	// done the same to a response without a length or chunks, so that it counts as Short.
	BrokenOff
)

// Decision is how the close of a response without a length or chunks is treated. The zero value is the safe one.
type Decision uint8

const (
	// Check means that the close is no end: another run is asked where that is allowed, else the stream breaks off.
	Check Decision = iota
	// PassOn means that the stream ends as its server framed it, by a close.
	PassOn
)

// Rule says which evidence lets a close pass.
type Rule struct {
	// Confirmations are needed of the software, and ServerConfirmations of the server itself. Without any, a close
	// passes until one is shown to be short: the rule for a service of which somebody knows how its servers end streams.
	Confirmations       int
	ServerConfirmations int
	// CountWeak makes WeaklyWhole count as Whole.
	CountWeak bool
	// CheckedShare of the streams that may be taken up are checked although their close would pass.
	CheckedShare float64
	// Window is how long a confirmation counts at most; it counts for at least half of that.
	Window time.Duration
}

// Evidence is what one process has observed. It is not safe for concurrent use.
type Evidence struct {
	rule    Rule
	records map[Software]*record
}

// New returns Evidence without observations.
func New(rule Rule) *Evidence {
	return &Evidence{rule: rule, records: map[Software]*record{}}
}

// Record adds what a check has shown of a run at a server.
func (e *Evidence) Record(now time.Time, software Software, server string, verdict Verdict) {
	if software.Version == "" || verdict == WeaklyWhole && !e.rule.CountWeak {
		return
	}
	known := e.record(now, software)
	if known == nil {
		return
	}
	known.advance(now, e.rule.Window)
	if verdict == Short || verdict == BrokenOff {
		known.shortAt = now
		return
	}
	known.current.add(server)
}

// Decide returns what is done at the close of a run at a server. The draw is uniform in [0, 1) and made once for each
// stream.
func (e *Evidence) Decide(now time.Time, software Software, server string, mayBeTakenUp bool, draw float64) Decision {
	if software.Version == "" || mayBeTakenUp && draw < e.rule.CheckedShare {
		return Check
	}
	known := e.record(now, software)
	if known == nil || known.isShort(now) {
		return Check
	}
	known.advance(now, e.rule.Window)
	total := known.current.total + known.previous.total
	own := known.current.servers[server] + known.previous.servers[server]
	if total < e.rule.Confirmations || own < e.rule.ServerConfirmations {
		return Check
	}
	return PassOn
}

// record returns the record of a software, nil if there is no room for it.
func (e *Evidence) record(now time.Time, software Software) *record {
	if known := e.records[software]; known != nil {
		return known
	}
	if len(e.records) >= maxSoftware {
		e.expire(now)
	}
	if len(e.records) >= maxSoftware {
		return nil
	}
	known := &record{halfBegan: now}
	e.records[software] = known
	return known
}

func (e *Evidence) expire(now time.Time) {
	for software, known := range e.records {
		known.advance(now, e.rule.Window)
		if !known.isShort(now) && known.current.total+known.previous.total == 0 {
			delete(e.records, software)
		}
	}
}

// record is the evidence of one software.
type record struct {
	// current and previous are the confirmations of the last two halves of the window.
	current, previous tally
	halfBegan         time.Time
	// shortAt is when a close was last shown to be short, zero if never.
	shortAt time.Time
}

// isShort reports whether a short close is remembered.
func (r *record) isShort(now time.Time) bool {
	return !r.shortAt.IsZero() && now.Sub(r.shortAt) < shortTTL
}

// advance drops the confirmations that no longer count.
func (r *record) advance(now time.Time, window time.Duration) {
	half := window / 2
	switch age := now.Sub(r.halfBegan); {
	case age >= window:
		r.current, r.previous, r.halfBegan = tally{}, tally{}, now
	case age >= half:
		r.current, r.previous, r.halfBegan = tally{}, r.current, r.halfBegan.Add(half)
	}
}

// tally counts confirmations.
type tally struct {
	total   int
	servers map[string]int
}

func (t *tally) add(server string) {
	if t.servers == nil {
		t.servers = map[string]int{}
	}
	t.servers[server]++
	t.total++
}
