// Package fault simulates network cuts between a process and some addresses, for tests and the
// demo, without a change to the machine's network. It works only if the settings allow it.
package fault
