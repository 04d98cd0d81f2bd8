// Package clock provides the clock used for leases. It advances while the host is suspended and is not
// affected by changes of the wall time.
//
// The monotonic clock of package time stands still while a host is suspended. A lease holder that used
// it would continue to act on a lease that all other nodes have seen expire. The wall time may be set.
// Timers, deadlines and request durations use package time and thus the monotonic clock, so a timer may
// fire late by the length of a suspension. Code with an expiry checks it against this clock after the
// timer has fired.
package clock
