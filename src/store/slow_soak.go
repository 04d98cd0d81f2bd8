//go:build soak

package store

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// slowSuffix is appended to a data folder's path to get the name of the file that contains the
// delay of each sync in milliseconds.
const slowSuffix = ".slow"

// delayPollInterval is how often a delayed sync reads that file again.
const delayPollInterval = 5 * time.Millisecond

// delaySync waits until the delay in the file next to a data folder has passed, or the file no longer
// requires a delay.
func delaySync(folder string) {
	startedAt := time.Now()
	for time.Since(startedAt) < syncDelay(folder) {
		time.Sleep(delayPollInterval)
	}
}

// syncDelay returns the sync delay for a folder, or 0 if its file is missing or invalid.
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
