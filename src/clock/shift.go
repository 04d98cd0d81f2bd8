//go:build !soak

package clock

import "time"

// shift returns how much the process adds to the system's boot time clock to simulate a suspension.
// Only soak test builds do so.
func shift() time.Duration { return 0 }
