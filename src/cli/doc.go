// Package cli is the operators' command line. It speaks the administration API
// of the keepers and, for what concerns one process, that process's own.
package cli
