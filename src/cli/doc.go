// Package cli is the command line of operators. It uses the administration API of
// the control nodes, and the control protocol for calls to other processes.
package cli
