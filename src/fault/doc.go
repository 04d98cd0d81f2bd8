// Package fault lets tests and the demo cut a process off from some addresses
// without touching the machine's network. It is off unless the settings allow it.
package fault
