package process

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/moorspool/moorspool/src/config"
)

// usage is the process's resource usage as reported by the operating system.
type usage struct {
	cpu       time.Duration
	resident  config.Bytes
	anonymous config.Bytes
}

// readUsage returns the current usage; values that can't be read are 0.
func readUsage() usage {
	var u usage
	var times syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &times); err == nil {
		u.cpu = time.Duration(times.Utime.Nano() + times.Stime.Nano())
	}
	file, err := os.Open("/proc/self/status")
	if err != nil {
		return u
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ":")
		switch name {
		case "VmRSS":
			u.resident = kibibytes(value)
		case "RssAnon":
			u.anonymous = kibibytes(value)
		}
	}
	return u
}

// kibibytes parses a value of /proc/self/status such as "1024 kB".
func kibibytes(value string) config.Bytes {
	digits := strings.TrimSuffix(strings.TrimSpace(value), " kB")
	amount, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return 0
	}
	return config.Bytes(amount) * config.KiB
}
