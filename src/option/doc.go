// Package option defines the command-line options and settings of the servers: parsing, defaults
// and checks.
package option
