package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The paths and headers of copies of runs.
const (
	pathMove       = "/-/kv-move"
	pathHandle     = "/-/kv-handle/"
	headerContinue = "Kv-From"
	headerBackup   = "X-Kv-Backup"
)

const (
	// handleTime is how long a copy is kept that nobody uses.
	handleTime = 5 * time.Second
	// moveTime is how long a copy takes, twice that between availability zones.
	moveTime = 5 * time.Millisecond
)

// streamRun is one run of a stream at a replica.
type streamRun struct {
	replica, address, zone, id string
	begunAt, endedAt           time.Time
	// after is the event after which the run began, made the last one that it wrote.
	after, made int
	// continued is set if the run goes on from a copy of another one, overlaps if it began before that one ended.
	continued, overlaps bool
	// unframed is set if the answer has neither a length nor chunks.
	unframed bool
	// whole is set if the replica wrote all events, brokeOff if it broke its answer off in order, cut if the
	// connection was closed before.
	whole, brokeOff, cut bool
	// moving is set while the run is copied, stopped once a call has stopped it, which closes stop.
	moving, stopped bool
	stop            chan struct{}
	// kept names the copy that each other replica has.
	kept map[string]string
	// asked counts the requests for the rest of the run at a replica that has its copy.
	asked int
	// holderLeft is set if a replica that has a copy of the run has begun to leave.
	holderLeft bool
	// server is the replica that runs it, nil if that is not known.
	server *replica
	// reset is set if the connection of a whole run was reset in place of an orderly end, died if its replica ended before it.
	reset, died bool
}

// runCopy is a copy of a run at another replica.
type runCopy struct {
	run    *streamRun
	target string
	// start names the start of the replica at target that keeps the copy.
	start string
	at    time.Time
	// backup is set if the copy grows with the run, source if the run has stopped and can also go on where it ran.
	backup, source bool
}

// runCopies are the runs under way at replicas, and the copies of runs that they keep. It is safe for concurrent use.
type runCopies struct {
	// replicaAt returns the start and the availability zone of the replica at an address, "" if there is none.
	replicaAt func(address string) (start, zone string)
	// refuses reports whether the replica at an address has no room for copies, nil if all have.
	refuses func(address string) bool
	// refusal is which rests are refused, seed that of what it draws.
	refusal restRefusal
	seed    uint64

	mu      sync.Mutex
	running map[string]*streamRun
	copies  map[string]*runCopy
	// refusedRests counts the refused requests for a rest by the request's ID.
	refusedRests map[string]int
	handles      int
	counts       copyCounts
}

// copyCounts counts the calls that concern copies, and the runs that went on from one.
type copyCounts struct {
	moved, ended, busy, nowhere, released, continued, absent, refused, stopped int
}

// String describes the counts.
func (c copyCounts) String() string {
	return fmt.Sprintf("runs stopped %d; copies made %d, of runs that were not under way %d, while another call was %d, to nowhere %d; released %d; runs that went on from a copy %d, refused without one %d, refused with one %d", c.stopped, c.moved, c.ended, c.busy, c.nowhere, c.released, c.continued, c.absent, c.refused)
}

func newRunCopies(replicaAt func(address string) (start, zone string)) *runCopies {
	return &runCopies{replicaAt: replicaAt, running: map[string]*streamRun{}, copies: map[string]*runCopy{}, refusedRests: map[string]int{}}
}

// copyName returns the name of a copy in headerContinue.
func copyName(source, handle string) string { return source + "/" + handle }

// begin records that a run begins; backup is the address of a replica that keeps a copy which grows, "" for none.
func (c *runCopies) begin(run *streamRun, backup string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := copyName(run.address, run.id)
	run.stop = make(chan struct{})
	c.running[name] = run
	if start, _ := c.replicaAt(backup); start != "" && backup != run.address {
		c.copies[name] = &runCopy{run: run, target: backup, start: start, backup: true}
	}
}

// end records that a run has ended. A copy that grew goes if it ended well.
func (c *runCopies) end(run *streamRun, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := copyName(run.address, run.id)
	if c.running[name] == run {
		delete(c.running, name)
	}
	if run.whole && c.refusal == refusesEnded {
		maps.DeleteFunc(c.copies, func(_ string, kept *runCopy) bool { return kept.run == run })
	}
	backup := c.copies[name]
	if backup == nil || backup.run != run {
		return
	}
	backup.at = now
	if run.whole {
		delete(c.copies, name)
	}
}

// take uses the copy that a request names, at the replica with an address, and returns the run that it is a copy of. It
// returns nil if there is none.
func (c *runCopies) take(name, address, id string, now time.Time) *streamRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.find(name, address, id, now)
	if kept == nil {
		return nil
	}
	return c.use(name, kept)
}

// find returns the copy that a request names, at the replica with an address, nil if there is none; the lock is held.
func (c *runCopies) find(name, address, id string, now time.Time) *runCopy {
	kept := c.copies[name]
	if kept == nil || !kept.serves(address) || kept.run.id != id || c.isOver(kept, now) || !c.isKept(kept) {
		c.counts.absent++
		c.refusedRests[id]++
		return nil
	}
	return kept
}

// use uses a copy and returns the run that it is a copy of; the lock is held.
func (c *runCopies) use(name string, kept *runCopy) *streamRun {
	delete(c.copies, name)
	c.counts.continued++
	return kept.run
}

// isOver reports whether the time of a copy is over; the lock is held.
func (c *runCopies) isOver(kept *runCopy, now time.Time) bool {
	if kept.backup && c.running[copyName(kept.run.address, kept.run.id)] == kept.run {
		return false
	}
	return now.Sub(kept.at) > handleTime
}

// serves reports whether the run can go on at the replica with an address.
func (k *runCopy) serves(address string) bool {
	return k.target == address || k.source && k.run.address == address
}

// isKept reports whether the replica that was given a copy has not ended since.
func (c *runCopies) isKept(kept *runCopy) bool {
	if kept.source {
		return true
	}
	start, _ := c.replicaAt(kept.target)
	return start == kept.start
}

// isRunning reports whether a run is under way, which it is not at a replica that has ended.
func (c *runCopies) isRunning(run *streamRun, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running[copyName(run.address, run.id)] == run && !run.server.hasDied(now)
}

// serve answers a call that concerns copies, at the replica with an address; it reports whether the request is one.
func (c *runCopies) serve(address string, w http.ResponseWriter, request *http.Request) bool {
	switch path := request.URL.Path; {
	case path == pathMove && request.Method == http.MethodPost:
		c.serveMove(address, w, request)
	case strings.HasPrefix(path, pathHandle) && request.Method == http.MethodDelete:
		w.WriteHeader(c.release(address, strings.TrimPrefix(path, pathHandle)))
	default:
		return false
	}
	return true
}

// moveBody is a call to copy a run.
type moveBody struct {
	ID     string `json:"replica_id"`
	Target string `json:"target_version"`
	Last   bool   `json:"last"`
}

func (c *runCopies) serveMove(address string, w http.ResponseWriter, request *http.Request) {
	var asked moveBody
	if err := json.NewDecoder(request.Body).Decode(&asked); err != nil || asked.ID == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	run, status := c.beginMove(address, asked)
	if run == nil {
		w.WriteHeader(status)
		return
	}
	if status == http.StatusOK {
		time.Sleep(c.moveTime(run, asked.Target))
	}
	handle, made := c.endMove(run, asked.Target, time.Now())
	if handle == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"handle":%q,"made":%d}`, handle, made)
}

// beginMove begins to copy a run; it returns nil if that can't be done, and the status of the answer. A run that stops keeps
// its memory where it ran, also if the other replica has no room.
func (c *runCopies) beginMove(address string, asked moveBody) (run *streamRun, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	run = c.running[copyName(address, asked.ID)]
	switch {
	case run == nil:
		c.counts.ended++
		return nil, http.StatusNotFound
	case run.moving:
		c.counts.busy++
		return nil, http.StatusConflict
	}
	status = http.StatusOK
	if start, _ := c.replicaAt(asked.Target); start == "" || asked.Target == address || c.refuses != nil && c.refuses(asked.Target) {
		c.counts.nowhere++
		status = http.StatusServiceUnavailable
	}
	switch {
	case asked.Last:
		c.counts.stopped++
		run.stopped = true
		close(run.stop)
		delete(c.running, copyName(address, asked.ID))
	case status != http.StatusOK:
		return nil, status
	}
	run.moving = true
	return run, status
}

func (c *runCopies) moveTime(run *streamRun, target string) time.Duration {
	if _, zone := c.replicaAt(target); zone != run.zone {
		return 2 * moveTime
	}
	return moveTime
}

// endMove ends the copying of a run; the handle is "" if the run has ended meanwhile.
func (c *runCopies) endMove(run *streamRun, target string, now time.Time) (handle string, made int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	run.moving = false
	if c.running[copyName(run.address, run.id)] != run && !run.stopped {
		c.counts.ended++
		return "", 0
	}
	start, _ := c.replicaAt(target)
	if c.refuses != nil && c.refuses(target) {
		target, start = run.address, ""
	} else {
		c.counts.moved++
	}
	handle = run.kept[target]
	if handle == "" {
		c.handles++
		handle = fmt.Sprint("h", c.handles)
		if run.kept == nil {
			run.kept = map[string]string{}
		}
		run.kept[target] = handle
	}
	c.copies[copyName(run.address, handle)] = &runCopy{run: run, target: target, start: start, at: now, source: run.stopped}
	return handle, run.made
}

// release releases a copy at its source or at its target, and returns the status of the answer.
func (c *runCopies) release(address, handle string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, kept := range c.copies {
		if !kept.backup && (name == copyName(address, handle) || kept.target == address && strings.HasSuffix(name, "/"+handle)) {
			delete(c.copies, name)
			c.counts.released++
			return http.StatusOK
		}
	}
	return http.StatusNotFound
}

// wrote records that a run has written an event.
func (c *runCopies) wrote(run *streamRun, event int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	run.made = event
}

// total returns the counts and how many copies are left that are not over.
func (c *runCopies) total(now time.Time) (counts copyCounts, left int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kept := range c.copies {
		left += asNumber(!c.isOver(kept, now))
	}
	return c.counts, left
}
