// Package admission decides whether a request of a client account may pass: its key must
// be known to have been in force lately, and its account must have something left.
//
// A Gate stands in each gateway, a Granter in each control node. A gate asks its granter
// for each request; the answer also says how old the certainty is that the configuration
// was the newest. Ages are measured from when a question was sent, on the asker's own
// clock, so that an answer that was delayed, or read by a process that had been frozen,
// never counts as younger than it is. What is granted is decided by package quota.
package admission
