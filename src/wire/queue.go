package wire

import "time"

// QueueRequest asks for a place at a replica for one request of a model whose replicas have no room. The
// JSON keys of this file are short because these messages are sent for many requests while room is short.
type QueueRequest struct {
	// ID identifies the place in QueueRelease. It is unique over all gateways.
	ID      uint64 `json:"i"`
	Service string `json:"s"`
	Model   string `json:"m"`
	// Kind names the route.
	Kind     string  `json:"k,omitempty"`
	Account  string  `json:"a,omitempty"`
	Weight   float64 `json:"g,omitempty"`
	Priority int     `json:"p,omitempty"`
	// TargetMS and DeadlineMS are the times left, in milliseconds, until the first event should reach the
	// client and until the client gives up.
	TargetMS   int64 `json:"t"`
	DeadlineMS int64 `json:"d"`
	// Returned is set if the client was refused before.
	Returned   bool             `json:"b,omitempty"`
	Candidates []QueueCandidate `json:"c"`
}

// QueueCandidate is a replica that could serve the request.
type QueueCandidate struct {
	Replica string `json:"r"`
	// PrefillMS and WorkMS are the expected times, in milliseconds, to read the prompt and in a slot.
	PrefillMS int64 `json:"p,omitempty"`
	WorkMS    int64 `json:"w,omitempty"`
}

// Elapse takes a time that has passed off the times left.
func (r *QueueRequest) Elapse(passed time.Duration) {
	r.TargetMS -= passed.Milliseconds()
	r.DeadlineMS -= passed.Milliseconds()
}

// QueueReply is the reply to a QueueRequest: the place, or the refusal if Replica is "". Known is false if
// the node gives no places.
type QueueReply struct {
	Known   bool   `json:"k,omitempty"`
	Replica string `json:"r,omitempty"`
	// Owner is the address of the control node that gave the place.
	Owner string `json:"o,omitempty"`
	// RetryMS is when a refused request should be repeated, in milliseconds.
	RetryMS int64 `json:"w,omitempty"`
	// Reason says why the request was refused, or how long it waited.
	Reason string `json:"e,omitempty"`
}

// QueueRelease gives places back, and withdraws requests that wait.
type QueueRelease struct {
	Places []QueuePlace `json:"p"`
}

// QueuePlace is one place or waiting request.
type QueuePlace struct {
	ID uint64 `json:"i"`
	// Owner is the node that gave the place, "" for a request that waits.
	Owner string `json:"o,omitempty"`
}

// QueueListRequest asks what waits for a place.
type QueueListRequest struct {
	// All is set to ask for the queues of all control nodes.
	All bool `json:"all,omitempty"`
}

// QueueList lists what waits for a place.
type QueueList struct {
	Nodes []QueueNode `json:"nodes"`
}

// QueueNode lists the queues of one control node.
type QueueNode struct {
	Node string `json:"node"`
	// Error is why the queues are not known.
	Error    string         `json:"error,omitempty"`
	Groups   []QueueGroup   `json:"groups,omitempty"`
	Refusals []QueueRefusal `json:"refusals,omitempty"`
}

// QueueGroup are the requests of one model, route and client account.
type QueueGroup struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	Route   string `json:"route"`
	Account string `json:"account,omitempty"`
	// Waiting and Places are the numbers of waiting requests and of given places.
	Waiting int `json:"waiting"`
	Places  int `json:"places"`
	// OldestMS is how long the oldest waiting request has waited, in milliseconds.
	OldestMS int64 `json:"oldestMs,omitempty"`
}

// QueueRefusal counts the refusals of the last seconds.
type QueueRefusal struct {
	Service string `json:"service"`
	Route   string `json:"route"`
	Account string `json:"account,omitempty"`
	Reason  string `json:"reason"`
	// InFavour is the route whose requests got the room, "" if none in particular did.
	InFavour string `json:"inFavour,omitempty"`
	Count    int    `json:"count"`
}
