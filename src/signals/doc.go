// Package signals delivers the signals of the operating system to a server, each with the time since which it
// may have been under way: a process that stood still learns of its signals late.
package signals
