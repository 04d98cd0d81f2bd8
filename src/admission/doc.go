// Package admission decides whether to accept a request of a client account: its key must have been
// valid in a recently confirmed configuration, and the account must have quota left.
//
// Each gateway has a Gate, each control node a Granter. A gate asks its granter for each request;
// the answer also says how long ago the configuration was known to be the newest. Ages are measured
// from when a request was sent, on the sender's own clock, so that an answer that was delayed, or
// read by a process that was suspended, never counts as more recent than it is. Package quota
// decides what is granted.
package admission
