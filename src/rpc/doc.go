// Package rpc provides calls and notifications between moorspool's processes: JSON-RPC 2.0
// over TCP with automatic reconnection, detection of unresponsive peers and traffic counters.
package rpc
