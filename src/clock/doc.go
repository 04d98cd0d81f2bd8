// Package clock has the clock that leases are measured by: it goes on while the host is suspended
// and does not jump with the time of day.
//
// The steady clock of package time stands still while a host is suspended, so that whoever holds a
// lease by it goes on acting on one that all others have seen expire; the time of day may be set.
// What is waited for, and how long a request took, is measured by package time, whose timers and
// deadlines go by the steady clock: a timer that fires late by a suspension is followed by a look at
// this clock wherever something lapses.
package clock
