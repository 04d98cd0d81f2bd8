// Package follow keeps a process's copy of the configuration up to date, from a control node while
// one can be reached, otherwise from peers in the same availability zone. It also sends the
// process's heartbeats.
package follow
