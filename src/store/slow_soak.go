//go:build soak

package store

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// slowSuffix follows a data folder's path in the name of the file that says how many milliseconds
// each sync of the folder waits.
const slowSuffix = ".slow"

// slowPoll is how often a sync that waits reads that file again.
const slowPoll = 5 * time.Millisecond

// delaySync waits for as long as the file beside a data folder says, and no longer than it says so.
func delaySync(folder string) {
	began := time.Now()
	for time.Since(began) < syncDelay(folder) {
		time.Sleep(slowPoll)
	}
}

// syncDelay returns how long each sync of a folder waits, 0 where nothing or nothing readable says so.
func syncDelay(folder string) time.Duration {
	text, err := os.ReadFile(folder + slowSuffix)
	if err != nil {
		return 0
	}
	milliseconds, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}
