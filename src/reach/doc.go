// Package reach decides whether a gateway can connect to the replicas of a service, from the results
// of its own dials and from what replicas send.
package reach
