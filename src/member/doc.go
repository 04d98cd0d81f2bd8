// Package member decides each backend server's standing from three sources that
// may disagree: the platform's list, the host's own word, and whether it answers.
package member
