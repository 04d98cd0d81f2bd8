package exchange

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/moorspool/moorspool/src/catalog"
)

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// RequestInfo are the properties of a request, independent of the interface by which it arrived.
type RequestInfo struct {
	// ID is the client's ID of this attempt.
	ID      string
	Model   string
	Adapter string
	// PromptTokens is the length of the prompt, OutputTokens the maximum length of the output.
	PromptTokens int
	OutputTokens int
	// OutputHint is the client's estimate of the output length in tokens, 0 if it gave none.
	OutputHint int
	Parts      []Part
	// Deadline is how long the client waits, 0 if it did not say.
	Deadline time.Duration
	// ResumeAfter is the ID of the last event that the client of a resumed stream has received.
	ResumeAfter string
	// Resumes is the ID of the client's attempt that brought the first event of a resumed stream.
	Resumes string
	// Key is the key of the client account, "" if the request has none.
	Key catalog.Key
}

// Attempt is what a replica is told in addition to the client's request.
type Attempt struct {
	// Replica is the replica's name for itself.
	Replica     string
	Remaining   time.Duration
	Priority    int
	ResumeAfter string
	// Backup is the address of the replica that keeps a copy of the run, "" for none.
	Backup string
	// ContinueFrom is the address of the replica that the copy of the run is named after if the run is to
	// go on from it, "" for a new run. CopyHandle names the copy there, "" for one that was kept as the run went on.
	ContinueFrom string
	CopyHandle   string
	// Account is the name of the client account, "" for requests without one.
	Account string
}

// Load is the load that a replica reports in a response.
type Load struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes now as a multiple of the usual time, 0 if the replica did not
	// say.
	Pace float64
}

// Reply is the decoded head of a replica's response.
type Reply struct {
	// ID is the request that the response belongs to, "" if the response does not name one.
	ID string
	// NotRun is set if the replica states that it has not run the request and will not.
	NotRun bool
	// Misdirected is set if the request reached another replica than the one addressed, or one that
	// does not hold the model.
	Misdirected bool
	Load        Load
	// Backoff is how long the replica wants no more requests from this gateway, 0 if it did not ask
	// for a backoff. BackoffParseError describes a backoff that could not be parsed.
	Backoff           time.Duration
	BackoffParseError string
	// Leaving is set if the replica is leaving.
	Leaving bool
	// Cold is the remaining time for which the replica can take only few requests, 0 if the
	// response does not say so.
	Cold time.Duration
	// Limit is the replica's rate limit over all gateways.
	Limit RateLimit
	// RejectionLimit is what the response says of how many rejections the replica bears.
	RejectionLimit RejectionLimit
	// Unknown lists the names of headers that are meant for gateways and not known to this one.
	Unknown []string
}

// RateLimit is a replica's rate limit over all gateways, as given in a response.
type RateLimit struct {
	// Valid is set if the response contains a valid limit, PerSecond is its value in requests per
	// second.
	Valid     bool
	PerSecond float64
	// ParseError describes a limit that could not be parsed, "" if there is none.
	ParseError string
}

// Codec translates between this package and the headers of one interface.
type Codec struct {
	// RequestInfo decodes a client's request.
	RequestInfo func(*http.Request) RequestInfo
	// EncodeRequest sets the headers of an attempt.
	EncodeRequest func(header http.Header, facts RequestInfo, attempt Attempt)
	// EncodeForwarded sets the headers of a request that is forwarded to another gateway.
	EncodeForwarded func(header http.Header, remaining time.Duration, resumeAfter string)
	// Reply decodes the head of a replica's response.
	Reply func(status int, header http.Header) Reply
	// Start reads when a replica started, Copy has runs copied.
	Start StartCodec
	Copy  CopyCodec
	// ReservedHeaders lists the client headers that are not passed on, in canonical form. Only the
	// gateway may set them, and EncodeRequest sets those that an attempt needs.
	ReservedHeaders []string
}

// answers reports whether a response belongs to the request with an ID. One that names another request, or
// none, proves nothing of the request, whatever it states: a faulty replica sends surplus bytes. It ends no
// restriction of its replica either, but what it asks for is granted.
func (r *Reply) answers(id string) bool { return r.ID == id }

// FieldValue returns the value of a field that may occur once in a head. If it occurs again with another value
// all of them are returned as one list: in a head that was cut off another one may follow, and such a head
// names neither of their requests.
func FieldValue(header http.Header, name string) string {
	values := header.Values(name)
	if len(values) < 2 {
		return header.Get(name)
	}
	return strings.Join(slices.Compact(slices.Clone(values)), ", ")
}

// rejected reports whether the replica rejected the request for another reason than the models that
// it holds.
func (r *Reply) rejected() bool { return r.NotRun && !r.Misdirected }

// describeRequests returns what the replica asked for in its rejection, for a log line.
func (r *Reply) describeRequests() string {
	text := ""
	if r.Backoff > 0 {
		text += ", nothing more for " + r.Backoff.String()
	}
	if r.Leaving {
		text += ", it leaves"
	}
	return text
}
