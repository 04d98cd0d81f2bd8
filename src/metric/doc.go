// Package metric names and collects a process's metrics and writes them in the
// Prometheus text format; units are part of each name.
package metric
