// Package discovery reads the platform's list of hosts, which lags behind the real state. No other
// package accesses the list.
package discovery
