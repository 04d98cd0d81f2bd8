package signals

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"
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
