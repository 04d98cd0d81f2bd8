// Package fleet runs the gateways and control nodes of an installation whose processes find each
// other through seed addresses, whose replicas register themselves and whose configuration is a
// single versioned document. An Interface defines the protocols of clients, replicas and operators.
package fleet
