// Package metric collects the metrics of a process and writes them in the Prometheus text format.
// Metric names include the unit.
package metric
