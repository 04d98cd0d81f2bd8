// Package discovery is the one place that speaks to the platform's list of
// hosts, which lags behind reality.
package discovery
