// Package option holds every setting of every binary in one place: defaults,
// parsing, checks and usage.
package option
