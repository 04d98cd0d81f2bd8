package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// What a measurement of losses of all processes does.
const (
	// powerRounds is how often all processes are killed at once, powerChanges how many changes come before each time, and
	// powerChangePause the pause between two of them.
	powerRounds      = 8
	powerChanges     = 5
	powerChangePause = 300 * time.Millisecond
	// powerReadTime is how long a control node may take until it is sure of the configuration, powerReadPause the pause
	// between two questions.
	powerReadTime  = 20 * time.Second
	powerReadPause = 200 * time.Millisecond
	// powerSettleTime is how long recovery from a lost data folder may take.
	powerSettleTime = 4 * time.Second
)

// measureLostPower kills all processes again and again right after a change was acknowledged, in every second round with
// the data folder of one control node, and prints how often acknowledged configuration was gone.
func measureLostPower(in *installation) error {
	check := newChecker()
	operators := newOperators(in, check, newZoneDrains())
	if err := in.startAll(); err != nil {
		return err
	}
	if err := operators.createConfiguration(); err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(in.options.Seed, 33))
	unread := 0
	for round := range powerRounds {
		for range powerChanges {
			operators.put(random.IntN(controlNodeCount))
			time.Sleep(time.Duration(random.Int64N(int64(powerChangePause))))
		}
		version, acknowledged := operators.changeUntilAcknowledged()
		var wiped *member
		if round%2 == 1 {
			wiped = in.controlNodes()[random.IntN(controlNodeCount)]
		}
		in.losePower(wiped, random)
		answered := operators.readAll()
		if wiped != nil {
			time.Sleep(powerSettleTime)
		}
		unread += controlNodeCount - answered
		fmt.Printf("round %d: version %d acknowledged %v, folder lost %v, read back at %d of %d control nodes\n", round, version, acknowledged, wiped != nil, answered, controlNodeCount)
	}
	findings := check.findings()
	for _, finding := range findings {
		fmt.Println("  ", finding)
	}
	fmt.Printf("acknowledged configuration lost: LOST %d of %d rounds with %d versions acknowledged; never read back %d\n", len(findings), powerRounds, operators.version.Load(), unread)
	return nil
}

// losePower kills all processes at once and starts them again, one of them without its data folder unless that is nil.
func (in *installation) losePower(wiped *member, random *rand.Rand) {
	for _, m := range in.members {
		m.signal(syscall.SIGKILL)
	}
	var starts sync.WaitGroup
	for _, m := range in.members {
		outage := time.Duration(random.Int64N(int64(maxOutage)))
		starts.Go(func() {
			m.waitForExit(exitTime)
			if m == wiped {
				_ = os.RemoveAll(m.folder)
			}
			in.startAfter(m, outage)
		})
	}
	starts.Wait()
}

// readAll reads the configuration at all control nodes and returns how many answered.
func (o *operators) readAll() int {
	answered := 0
	for control := range controlNodeCount {
		for end := time.Now().Add(powerReadTime); time.Now().Before(end); time.Sleep(powerReadPause) {
			if o.read(control) {
				answered++
				break
			}
		}
	}
	return answered
}
