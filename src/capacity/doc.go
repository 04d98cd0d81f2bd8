// Package capacity measures the resource usage of each role at several sizes, fits
// a line to the measurements, and extrapolates to the target installation size,
// which is expected in two years.
package capacity
