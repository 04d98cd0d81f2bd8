package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// awaitStandstill waits until all threads of a process that was sent SIGSTOP stand still. A signal that comes before may be
// handled first: the kernel delivers those with lower numbers before the others.
func (m *member) awaitStandstill() {
	m.mu.Lock()
	process := m.process
	m.mu.Unlock()
	if process == nil || process.Process == nil {
		return
	}
	for limit := time.Now().Add(maxPauseEffect); time.Now().Before(limit) && !standsStill(process.Process.Pid); {
		time.Sleep(time.Millisecond)
	}
}

// standsStill reports whether all threads of a process are stopped, or it has ended.
func standsStill(pid int) bool {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	for _, path := range paths {
		stat, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(stat), ") ")
		if !strings.HasPrefix(rest, "T") && !strings.HasPrefix(rest, "Z") {
			return false
		}
	}
	return true
}
