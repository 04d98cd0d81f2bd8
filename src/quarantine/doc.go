// Package quarantine knows requests by what they ask for, whatever ID they come with, so
// that one which ends the replicas that run it can be told from all others.
package quarantine
