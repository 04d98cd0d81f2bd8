// Package wire defines the messages between moorspool's processes and the RPC method names
// they are sent with.
package wire
