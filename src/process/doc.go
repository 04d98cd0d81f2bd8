// Package process implements what all of moorspool's servers share: logging, events, the control
// protocol, the administration API, health checks, metrics and an orderly shutdown.
package process
