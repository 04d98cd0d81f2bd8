//go:build review

// Command standins-2 runs the cases of the second review that are scripts. It starts the deployed programs as
// processes on loopback addresses, plays the clients, the backend servers and the operator, and writes down
// what each of them saw.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not
// run.
package main
