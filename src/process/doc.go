// Package process is what every server of moorspool has in common: logger,
// events, control protocol, administration API, health, metrics and an orderly stop.
package process
