//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// options are the command-line options.
type options struct {
	programs string
	record   string
	trouble  bool
}

var cases = map[string]func(*installation, options) (broken bool, err error){
	"restarted": runRestarted,
	"crowded":   runCrowded,
	"surplus":   runSurplus,
	"brittle":   runBrittle,
	"runaway":   runRunaway,
	"retired":   runRetired,
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	name := flag.String("case", "", "the case to run")
	flag.StringVar(&o.programs, "programs", "target", "the folder of the deployed programs")
	flag.StringVar(&o.record, "record", "record.txt", "the file that the record is written to")
	flag.Parse()
	o.trouble = os.Getenv("TROUBLE") != "0"
	runCase := cases[*name]
	if runCase == nil {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", *name)
		return exitFailed
	}
	r, err := newRecord(o.record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	programs, err := filepath.Abs(o.programs)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	in, err := newInstallation(folder, programs, 2, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer in.stopAll()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-interrupted
		in.stopAll()
		os.Exit(exitFailed)
	}()
	broken, err := runCase(in, o)
	switch {
	case err != nil:
		r.add("the case could not run: %s", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		r.add("the rule was broken")
		return exitBroken
	}
	r.add("the rule held")
	return exitHeld
}
