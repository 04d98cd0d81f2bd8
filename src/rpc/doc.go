// Package rpc carries calls and notifications between moorspool's own
// processes: JSON-RPC 2.0 over TCP, with reconnection, silence detection and a
// meter of what it cost.
package rpc
