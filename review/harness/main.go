//go:build review

// Harness runs the cases of the review: it starts the project's programs as separate processes on loopback
// addresses, plays clients, replicas and the operator, and checks one rule from what these have seen.
//
// The exit code is 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]func(c *cluster) bool{}

// trouble is false if the case is to run without its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD-FOLDER")
		os.Exit(2)
	}
	record = newRecorder(filepath.Join(os.Args[2], "record.txt"))
	c := newCluster()
	cleanUp = c.stop
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cannotRun("interrupted")
	}()
	time.AfterFunc(110*time.Second, func() { cannotRun("the case took too long") })
	held := cases[os.Args[1]](c)
	c.stop()
	if !held {
		record.print("RESULT: the rule was broken")
		os.Exit(1)
	}
	record.print("RESULT: the rule held")
}

var cleanUp = func() {}

// cannotRun ends the program because the case could not run.
func cannotRun(format string, arguments ...any) {
	record.print("RESULT: the case could not run: "+format, arguments...)
	cleanUp()
	os.Exit(2)
}

func check(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

// recorder writes record.txt. It is safe for concurrent use.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

var record *recorder

func newRecorder(path string) *recorder {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	return &recorder{file: file, started: time.Now()}
}

// write adds a line with the time since the start.
func (r *recorder) write(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// print adds a line and shows it.
func (r *recorder) print(format string, arguments ...any) {
	r.write(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}
