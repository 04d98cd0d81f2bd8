package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// operators change the configuration from two goroutines and read it back.
type operators struct {
	in      *installation
	check   *checker
	client  *http.Client
	version atomic.Uint64
	zones   *zoneDrains
	done    chan struct{}
	work    sync.WaitGroup
}

func newOperators(in *installation, check *checker, zones *zoneDrains) *operators {
	return &operators{in: in, check: check, zones: zones, client: &http.Client{Timeout: 1200 * time.Millisecond}, done: make(chan struct{})}
}

// configurationOf returns the configuration of a version: the routes that every version has and one
// that only this version has. copies is set if replicas can copy runs.
func configurationOf(version uint64, copies bool) string {
	const route = `{"name":%q,"hostname":"a.example","path_prefix":%q,"route_kind":%q,"timeout_ms":4000,"target_latency_ms":500,"service":"s","max_attempts":2,"resumable":%v}`
	const workRoute = `{"name":"work","hostname":"a.example","path_prefix":"/w/","route_kind":"unsafe","timeout_ms":%d,"target_latency_ms":%d,"service":"s","max_attempts":2,"resumable":false}`
	routes := []string{
		fmt.Sprintf(route, "unsafe", "/u/", "unsafe", false),
		fmt.Sprintf(route, "safe", "/s/", "safe", false),
		fmt.Sprintf(route, "long", "/l/", "safe", false),
		fmt.Sprintf(workRoute, workDeadline.Milliseconds(), maxWork.Milliseconds()),
		fmt.Sprintf(route, "events", "/e/", "streaming", true),
		fmt.Sprintf(route, "events that may not be repeated", "/n/", "streaming", false),
		fmt.Sprintf(route, "version", fmt.Sprintf("/v/%d/", version), "safe", false),
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"s","health_path":"/health","cold_per_s":%d%s}],"limits":{"max_body_bytes":1048576},"tenants":[%s]}`, version, strings.Join(routes, ","), coldRate, copyingEngine(copies), accountsOf(version))
}

// copyingEngine returns the field of a service whose replicas can copy runs, if they can.
func copyingEngine(copies bool) string {
	if !copies {
		return ""
	}
	return fmt.Sprintf(`,"engine":{"slots":%d,"kv_cache_tokens":100000,"moves":true,"backups":true,"stride":1,"handle_s":%g}`, replicaSlots, handleTime.Seconds())
}

// createConfiguration sends the first configuration until it is acknowledged.
func (o *operators) createConfiguration() error {
	for range 100 {
		if o.put(0) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the first configuration was never acknowledged")
}

// put sends the next version to the control nodes in turn until one acknowledges it.
func (o *operators) put(first int) bool {
	version := o.version.Add(1)
	o.check.recordSent(version, configurationOf(version, o.in.options.Copies))
	return o.putVersion(version, first)
}

// putVersion sends a version to the control nodes in turn until one acknowledges it.
func (o *operators) putVersion(version uint64, first int) bool {
	body := configurationOf(version, o.in.options.Copies)
	for turn := first; turn < first+2*controlNodeCount; turn++ {
		status, _ := o.call(http.MethodPut, turn%controlNodeCount, body)
		if status == http.StatusOK {
			o.check.recordAcknowledged(version)
			return true
		}
		if status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			o.check.fail("refused", "version %d was answered %d", version, status)
		}
	}
	return false
}

func (o *operators) call(method string, control int, body string) (int, string) {
	m := o.in.controlNodes()[control]
	request, err := http.NewRequest(method, "http://"+o.in.proxyAddress(m, o.in.callPort())+"/-/configuration", strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	response, err := o.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(read)
}

func (o *operators) run(ctx context.Context, random *rand.Rand) {
	for range 2 {
		seed := random.Uint64()
		o.work.Add(1)
		go func() {
			defer o.work.Done()
			own := rand.New(rand.NewPCG(seed, 6))
			for ctx.Err() == nil {
				select {
				case <-o.done:
					return
				case <-time.After(time.Duration(200+own.IntN(900)) * time.Millisecond):
				}
				if own.IntN(3) == 0 {
					o.read(own.IntN(controlNodeCount))
					continue
				}
				o.put(own.IntN(controlNodeCount))
			}
		}()
	}
}

// read reads the configuration from a control node and checks that it is not older than the last
// acknowledged version and equals what was sent. It reports whether the node answered.
func (o *operators) read(control int) bool {
	floor, _ := o.check.newest()
	status, body := o.call(http.MethodGet, control, "")
	if status != http.StatusOK {
		return false
	}
	o.check.count("reads")
	var version uint64
	if _, err := fmt.Sscanf(body, `{"version":%d,`, &version); err != nil {
		o.check.fail("read", "control-%d answered what is no configuration: %.80s", control+1, body)
		return false
	}
	if version < floor {
		o.check.fail("read", "control-%d answered version %d after %d was acknowledged", control+1, version, floor)
	}
	if body != o.check.content(version) {
		o.check.fail("read", "version %d is not what was sent under it", version)
	}
	return true
}

func (o *operators) stop() {
	close(o.done)
	o.work.Wait()
}

// readBack reads the configuration from every control node at the end; each one must be able to
// answer again.
func (o *operators) readBack() {
	for control := range controlNodeCount {
		answered := false
		for range 30 {
			if answered = o.read(control); answered {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
		if !answered {
			o.check.fail("recover", "control-%d was never sure of the configuration again", control+1)
		}
	}
}
