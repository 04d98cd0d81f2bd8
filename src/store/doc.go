// Package store persists a control node's term, vote, log and snapshot in a data
// folder. Synced data survives a crash or loss of power, and corruption is detected.
//
// The folder contains
//
//	identity          the owner of the folder, written once
//	log-<number>      records with length and checksum, append-only
//	snapshot          the state at one log index, replaced as a whole
//
// A new log file is started at every start, after every snapshot and when the current one is full.
// Numbers only increase, so only the newest file can end in a torn record.
//
// The package uses plain file I/O and no memory mapping.
package store
