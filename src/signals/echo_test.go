package signals

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// envBusy is set for the busy process of a test.
const envBusy = "SIGNALS_TEST_BUSY"

// TestBusyProcess is no test: it is the process that learns late of its signal since it is busy.
func TestBusyProcess(t *testing.T) {
	if os.Getenv(envBusy) == "" {
		t.Skip("not started as a busy process")
	}
	w := Notify()
	for range 50 {
		go func() {
			for ended := false; !ended; {
				ended = len(w.terminate) > 1
			}
		}()
	}
	fmt.Println("ready")
	stop := <-w.Stop()
	fmt.Println(stop.SentAfter.UnixNano())
	os.Exit(0)
}

// TestASignalThatTicksOvertakeIsNotTakenForANewOne: a busy process hands its ticks over long before a signal, and its stop
// counted from the last of them.
func TestASignalThatTicksOvertakeIsNotTakenForANewOne(t *testing.T) {
	for range 3 {
		is := is.New(t)
		command := exec.Command(os.Args[0], "-test.run=^TestBusyProcess$")
		command.Env = append(os.Environ(), envBusy+"=1", "GOMAXPROCS=1")
		out, err := command.StdoutPipe()
		is.NoErr(err)
		is.NoErr(command.Start())
		lines := bufio.NewReader(out)
		_, err = lines.ReadString('\n')
		is.NoErr(err)
		time.Sleep(time.Second)
		sent := time.Now()
		is.NoErr(command.Process.Signal(syscall.SIGTERM))
		var sentAfter int64
		_, err = fmt.Fscan(lines, &sentAfter)
		is.NoErr(err)
		is.NoErr(command.Wait())
		is.True(!time.Unix(0, sentAfter).After(sent))
	}
}

// TestAStopCountsFromTheLastEcho: ticks alone do not tell how long a signal was under way within the process.
func TestAStopCountsFromTheLastEcho(t *testing.T) {
	for _, c := range []struct {
		name string
		// stray is set if the signal comes that echoes are made of, but none is under way.
		stray bool
		// fail is set if none can be sent.
		fail bool
		want time.Duration
	}{
		{"the echo is under way", false, false, 510 * time.Millisecond},
		{"after a signal of another process", true, false, 510 * time.Millisecond},
		{"no echoes", false, true, 60 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				terminate, echoes := make(chan os.Signal, 1), make(chan os.Signal, 1)
				w := newWatch(terminate, nil, time.Now)
				began := time.Now()
				w.echoes, w.echo = echoes, func() error {
					if c.fail {
						return errors.ErrUnsupported
					}
					if time.Since(began) < 550*time.Millisecond {
						echoes <- echoSignal
					}
					return nil
				}
				if c.stray {
					echoes <- echoSignal
				}
				go w.run(t.Context())
				time.Sleep(1010 * time.Millisecond)
				terminate <- syscall.SIGTERM
				stop := <-w.Stop()
				is.Equal(stop.Delay(), c.want)
			})
		})
	}
}
