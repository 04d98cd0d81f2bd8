// Package member determines the state of each backend server from three sources that may disagree:
// the platform's list of hosts, the host's own announcements, and whether it answers health checks.
package member
