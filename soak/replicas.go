package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Numbers and headers of the replicas.
const (
	replicaCount = 6
	replicaSlots = 16
	// defaultBacklog is the length of a queue that no measurement fills.
	defaultBacklog    = 4096
	streamEvents      = 5
	eventPause        = 30 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	// initialSequence is the call sequence number at which the first replicas start, as if they had
	// been running for long; a replica restarted under the same ID starts from 1.
	initialSequence = 10_000
	// drainGrace is how long after its draining was acknowledged a replica may still receive
	// requests.
	drainGrace = 2 * time.Second
	// startNoticeTime is how long after a control node has acknowledged a start gateways may not know of it.
	startNoticeTime = time.Second
	// stampHeader holds the replica and the request ID that an answer belongs to.
	stampHeader = "X-Response-Stamp"
	idHeader    = "X-Attempt-Id"
)

// replicas are the backend servers of a run; they are served by this process.
type replicas struct {
	in     *installation
	check  *checker
	client *http.Client

	mu          sync.Mutex
	list        []*replica
	started     int
	crashes     crashCounts
	partCrashes partCrashCounts
	zones       *zoneDrains
	// notices are the totals of what replicas announced in their answers.
	notices noticeCounts
	// limits are the totals of the announced limits.
	limits limitCounts
	// unframed makes streams end with their connection, unless it is nil.
	unframed *streamsWithoutFraming
	plan     replicaPlan
	// copies are the copies of runs, nil if replicas can't copy any.
	copies      *runCopies
	breakDeaths breakDeaths
	// quietUntil is until when no heartbeats are sent, in nanoseconds since 1970.
	quietUntil atomic.Int64
}

// replicaPlan is what the replicas of a run have in common.
type replicaPlan struct {
	count int
	// slots is how many requests each tells that it runs at once.
	slots int
	// backlog is the length of the queue of connections that are not accepted yet.
	backlog int
	// undated is set if they do not tell when they started.
	undated bool
	// software is the version that all starts run, "" to draw it at each start.
	software string
	// model is the model that all hold, "" if they run none.
	model string
	// modelHosts is how many hosts have replicas that hold it, 0 for all.
	modelHosts int
	// breakOff is the share of streams in percent that break off, 0 for breakOffPercent.
	breakOff int
	// closesShort is set if replicas break framed streams off by an orderly close between two events, and live on.
	closesShort bool
	// handler answers requests in place of replicas.answer, unless it is nil.
	handler func(rep *replica, w http.ResponseWriter, request *http.Request)
}

// replica is one start of a backend server.
type replica struct {
	id string
	// software is the version of the software that this start runs.
	software string
	// startedMs is the time of the start in Unix milliseconds.
	startedMs       int64
	host            int
	address         string
	server          *http.Server
	sequence        int
	draining        bool
	nextControlNode int
	// notices is what the replica announces in its answers.
	notices notices
	cold    coldPeriod
	framing framing
	limit   announcedLimit
	pause   *pause
	// listener takes the replica's connections.
	listener pausedListener
	conns    openConns

	goneMu sync.Mutex
	// goneAt is when the replica ended or told that it did, leavesAt when it was told to leave, the zero time before.
	goneAt, leavesAt time.Time
	// again is set if it started under the ID of an earlier start, listedAt when a control node first acknowledged it.
	again    bool
	listedAt time.Time
	// endlessReports are when it told its start in an answer without end.
	endlessReports []time.Time
}

func newReplicas(in *installation, check *checker, zones *zoneDrains, plan replicaPlan) (*replicas, error) {
	r := &replicas{plan: plan, crashes: crashCounts{threshold: deadlyContentCrashes}, partCrashes: partCrashCounts{byPart: map[string]*crashCounts{}}, in: in, check: check, zones: zones, client: &http.Client{Timeout: time.Second}}
	for i := 1; i <= plan.count; i++ {
		rep, err := r.start(i)
		if err != nil {
			return nil, err
		}
		rep.sequence = initialSequence
	}
	return r, nil
}

// start starts a replica with a new ID at a host.
func (r *replicas) start(host int) (*replica, error) { return r.startAs(host, "") }

// startAs starts a replica at a host, under the given ID unless that is "".
func (r *replicas) startAs(host int, id string) (*replica, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	again := id != ""
	if id == "" {
		id = fmt.Sprintf("i-%03d", r.started)
	}
	rep := &replica{id: id, again: again, pause: newPause(), software: r.plan.drawSoftware(), startedMs: time.Now().UnixMilli(), host: host, address: fmt.Sprintf("%s%d:%d", replicaNet, host, r.in.callPort())}
	if err := rep.listen(r.plan.backlog, func(id string, at time.Time) { r.check.lost.recordArrival(id, rep, at) }); err != nil {
		return nil, err
	}
	answer := r.plan.handler
	if answer == nil {
		answer = r.answer
	}
	rep.serve(func(w http.ResponseWriter, request *http.Request) { answer(rep, w, request) })
	r.list = append(r.list, rep)
	return rep, nil
}

func (r *replicas) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rep := range r.list {
		rep.close()
	}
}

// answer runs a request; the first letter of its path selects the kind.
func (r *replicas) answer(rep *replica, w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(idHeader)
	if id != "" {
		w.Header().Set(idHeader, id)
	}
	if expected := request.Header.Get("X-Expected-Replica"); expected != "" && expected != rep.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	endless := drawEndless()
	if endless != nil && request.URL.Path == "/-/report" {
		rep.recordEndlessReport()
	}
	if endless != nil && (request.URL.Path == "/-/report" || r.copies != nil && request.URL.Path == pathMove) {
		endless.send(w, rep.id, id)
		return
	}
	if r.copies != nil && r.copies.serve(rep.address, w, request) {
		return
	}
	if request.URL.Path == "/-/report" {
		_, _ = fmt.Fprintf(w, `{"born":%d}`, rep.startedMs)
		return
	}
	held := heldByPause(request)
	if held {
		// It may have been sent long before, and its gateway may not see what the answer says.
		r.check.checkAccount(id, request.Header, false)
	} else if r.checkArrival(rep, w, request, id) {
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	echo, cut := echoOf(request, body)
	if cut {
		r.check.fail("mixed", "%s got request %s with %d of %s bytes", rep.id, id, len(body), request.Header.Get(bodySizeHeader))
	}
	copied, refused := r.beginCopied(rep, request, id)
	if refused {
		refuse(w, 0)
		return
	}
	run := r.check.lost.beginRun(id, rep, r.check.links.senders[hostOf(request.RemoteAddr)], arrivalOf(request))
	defer r.check.lost.endRun(run)
	if copied != nil {
		run.copied = copied
		defer r.endCopied(run)
	}
	if string(body) == crashBody {
		r.crashOnContent(rep, held)
		panic(http.ErrAbortHandler)
	}
	if part := deadlyPart(request); part != "" {
		r.crashOnPart(rep, part, held)
		// Of two requests that crash the replica at once, the later one must not be answered before its
		// connection closes.
		panic(http.ErrAbortHandler)
	}
	if endless != nil {
		r.check.count("answers without end")
		r.check.lost.recordBrokenOff(run)
		if !endless.rejects && runsOnce(request) {
			r.check.recordRun(id, rep.id)
		}
		endless.send(w, rep.id, id)
		return
	}
	if unframed := r.streamsUnframed(); unframed != nil && strings.ContainsRune("en", rune(request.URL.Path[1])) {
		after, _ := strconv.Atoi(request.Header.Get(headerLastEvent))
		unframed.write(r, rep, w, id, after)
		return
	}
	w.Header().Set(stampHeader, rep.id+"."+id)
	w = rep.framing.write(w, func() { r.check.lost.recordBrokenOff(run) })
	if w.Header().Get("Transfer-Encoding") != "" {
		r.check.lost.recordUnframed(run)
	}
	switch request.URL.Path[1] {
	case 'u':
		r.check.recordRun(id, rep.id)
		time.Sleep(10 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "%s:%s", id, echo)
	case 'w':
		r.check.recordRun(id, rep.id)
		r.work(run, w, request, id+":"+echo)
	case 'n':
		if copied == nil || !copied.continued || copied.overlaps {
			r.check.recordRun(id, rep.id)
		}
		r.stream(run, w, request, id)
	case 'e':
		r.stream(run, w, request, id)
	case 'l':
		if _, err := io.WriteString(w, longBody(id)); err != nil {
			r.check.lost.recordCut(run)
		}
	default:
		_, _ = fmt.Fprintf(w, "%s:%s", id, echo)
	}
}

// beginCopied records that a stream begins to run where runs can be copied, else it returns nil. It reports whether the
// request names a copy that is not there.
func (r *replicas) beginCopied(rep *replica, request *http.Request, id string) (run *streamRun, refused bool) {
	if r.copies == nil || !isStreamKind(request.URL.Path[1:2]) {
		return nil, false
	}
	after, _ := strconv.Atoi(request.Header.Get(headerLastEvent))
	run = &streamRun{replica: rep.id, address: rep.address, zone: zoneOf(rep.host), id: id, begunAt: time.Now(), after: after, made: after}
	if name := request.Header.Get(headerContinue); name != "" {
		source := r.copies.take(name, rep.address, id, run.begunAt)
		if source == nil {
			return nil, true
		}
		r.check.count("runs from copies")
		run.continued, run.overlaps = true, r.copies.isRunning(source, run.begunAt)
	}
	r.copies.begin(run, request.Header.Get(headerBackup))
	return run, false
}

// endCopied records that a stream has ended where runs can be copied.
func (r *replicas) endCopied(run *replicaRun) {
	run.copied.whole = !run.brokeOff && !run.cut
	r.copies.end(run.copied, time.Now())
}

// checkArrival checks that a replica gets a request when it may get one, and writes notices into the answer. It
// reports whether the replica has refused the request.
func (r *replicas) checkArrival(rep *replica, w http.ResponseWriter, request *http.Request, id string) bool {
	if at := r.check.drainAcknowledgedAt(rep.id); !at.IsZero() && time.Since(at) > drainGrace && r.faultFree(request.RemoteAddr) {
		r.check.late("drain", "%s got request %s %s after its leaving was acknowledged", rep.id, id, time.Since(at))
	}
	r.checkZone(rep, id)
	r.checkCold(rep)
	r.checkLimit(rep, request)
	rep.limit.announce(w.Header(), r.check.links.senderOf(request), time.Now())
	backoff, refused, leaving := r.checkNotices(rep, request)
	r.check.checkAccount(id, request.Header, !refused)
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if refused {
		refuse(w, backoff)
	}
	return refused
}

// recordGone records that the replica ends, unless that is recorded.
func (rep *replica) recordGone() {
	rep.goneMu.Lock()
	defer rep.goneMu.Unlock()
	if rep.goneAt.IsZero() {
		rep.goneAt = time.Now()
	}
}

// recordEndlessReport records that the replica tells its start in an answer without end.
func (rep *replica) recordEndlessReport() {
	rep.goneMu.Lock()
	defer rep.goneMu.Unlock()
	rep.endlessReports = append(rep.endlessReports, time.Now())
}

// reportedEndlessly reports whether the replica told its start in an answer without end between two times.
func (rep *replica) reportedEndlessly(from, to time.Time) bool {
	rep.goneMu.Lock()
	defer rep.goneMu.Unlock()
	return slices.ContainsFunc(rep.endlessReports, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// recordLeaving records that the replica is told to leave, unless that is recorded.
func (rep *replica) recordLeaving() {
	rep.goneMu.Lock()
	defer rep.goneMu.Unlock()
	if rep.leavesAt.IsZero() {
		rep.leavesAt = time.Now()
	}
}

// leavesBy reports whether the replica had been told to leave at a time.
func (rep *replica) leavesBy(at time.Time) bool {
	rep.goneMu.Lock()
	defer rep.goneMu.Unlock()
	return !rep.leavesAt.IsZero() && !rep.leavesAt.After(at)
}

// goneBy reports whether the replica had ended at a time.
func (rep *replica) goneBy(at time.Time) bool {
	rep.goneMu.Lock()
	defer rep.goneMu.Unlock()
	return !rep.goneAt.IsZero() && !rep.goneAt.After(at)
}

// close ends the replica: its connections close and its port refuses connections.
func (rep *replica) close() {
	rep.recordGone()
	rep.pause.kill()
	if rep.pause.active() || rep.pause.endedWithin(acceptTime) {
		rep.listener.readQueue()
	}
	_ = rep.server.Close()
	rep.conns.closeAll()
}

// heldModel is a model that a replica tells that it holds.
type heldModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// models returns what a replica at a host holds.
func (p replicaPlan) models(host int) []heldModel {
	if p.model == "" || p.modelHosts > 0 && host > p.modelHosts {
		return []heldModel{}
	}
	return []heldModel{{Name: p.model, Version: 1, Adapters: []string{}}}
}

// lacksModel reports whether the replica at an address does not hold the model.
func (r *replicas) lacksModel(address string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rep := range r.list {
		if rep.address == address {
			return r.plan.model != "" && len(r.plan.models(rep.host)) == 0
		}
	}
	return true
}

// replicaAt returns the start and the availability zone of the replica at an address, "" if there is none.
func (r *replicas) replicaAt(address string) (start, zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rep := range r.list {
		if rep.address == address {
			return fmt.Sprintf("%s@%d", rep.id, rep.startedMs), zoneOf(rep.host)
		}
	}
	return "", ""
}

// streamsUnframed returns how streams are written that end with their connection, nil if none are.
func (r *replicas) streamsUnframed() *streamsWithoutFraming {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unframed
}

// faultFree reports whether the control nodes and gateways have been free of faults long enough for
// time limits to apply.
func (r *replicas) faultFree(string) bool {
	since := r.in.controlFaultFreeSince()
	if since.IsZero() || time.Since(since) < 5*time.Second {
		return false
	}
	for _, m := range r.in.gatewayNodes() {
		if _, since := m.state(); since.IsZero() || time.Since(since) < 5*time.Second {
			return false
		}
	}
	return true
}

func (r *replicas) stream(run *replicaRun, w http.ResponseWriter, request *http.Request, id string) {
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	brokenAfter, broken := streamEvents, r.plan.brokenPercent()
	if never, brokenInSpell := run.rep.framing.isNever(); never {
		broken = brokenInSpell
	}
	if rand.IntN(100) < broken {
		brokenAfter = after + 1 + rand.IntN(streamEvents)
	}
	for n := after + 1; n <= streamEvents; n++ {
		if n > brokenAfter {
			r.check.lost.recordBrokenOff(run)
			if r.plan.closesShort && !run.unframed {
				r.check.lost.recordShortClose(run.rep.software)
				panic(http.ErrAbortHandler)
			}
			r.breakOff(run.rep, w, streamEvent(id, n, run.rep.software))
			return
		}
		_, err := io.WriteString(w, streamEvent(id, n, run.rep.software))
		if err != nil || http.NewResponseController(w).Flush() != nil {
			r.check.lost.recordCut(run)
			return
		}
		r.check.lost.recordEvents(run)
		if run.copied != nil {
			r.copies.wrote(run.copied, n)
		}
		select {
		case <-request.Context().Done():
			r.check.lost.recordCut(run)
			return
		case <-run.stop():
			r.check.lost.recordCut(run)
			panic(http.ErrAbortHandler)
		case <-time.After(eventPause):
		}
	}
}

// sendHeartbeats registers every replica at regular intervals.
func (r *replicas) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Until(time.Unix(0, r.quietUntil.Load())))
		r.mu.Lock()
		list := append([]*replica(nil), r.list...)
		r.mu.Unlock()
		for _, rep := range list {
			if rep.draining || rep.pause.paused() {
				continue
			}
			go r.register(rep, "ready")
		}
		time.Sleep(heartbeatInterval)
	}
}

// register sends a replica's state to the control nodes in turn until one acknowledges it.
func (r *replicas) register(rep *replica, state string) bool {
	r.mu.Lock()
	rep.sequence++
	sequence := rep.sequence
	r.mu.Unlock()
	cold := rep.cold.remaining()
	told := map[string]any{"service": "s", "address": rep.address, "zone": zoneOf(rep.host), "version": rep.software, "slots": r.plan.slots, "state": state, "sequence": sequence, "born": rep.startedMs, "cold_remaining_ms": cold.Milliseconds()}
	if r.plan.undated {
		delete(told, "born")
	}
	if r.plan.model != "" {
		told["stage"], told["models"] = "both", r.plan.models(rep.host)
	}
	body, err := json.Marshal(told)
	if err != nil || !r.call(rep, http.MethodPut, body) {
		return false
	}
	rep.recordListed()
	if cold > 0 {
		rep.cold.recordAcknowledged()
	}
	return true
}

// recordListed records that a control node has acknowledged the replica.
func (rep *replica) recordListed() {
	rep.goneMu.Lock()
	defer rep.goneMu.Unlock()
	if rep.listedAt.IsZero() {
		rep.listedAt = time.Now()
	}
}

// takenForEarlier reports whether gateways may have taken the replica for an earlier start of its ID at a time.
func (rep *replica) takenForEarlier(at time.Time) bool {
	rep.goneMu.Lock()
	defer rep.goneMu.Unlock()
	return rep.again && (rep.listedAt.IsZero() || at.Before(rep.listedAt.Add(startNoticeTime)))
}

func (r *replicas) call(rep *replica, method string, body []byte) bool {
	for range controlNodeCount {
		r.mu.Lock()
		m := r.in.controlNodes()[rep.nextControlNode%controlNodeCount]
		r.mu.Unlock()
		rep.pause.wait()
		request, err := http.NewRequest(method, "http://"+r.in.proxyAddress(m, r.in.callPort())+"/-/replicas/"+rep.id, bytes.NewReader(body))
		if err != nil {
			return false
		}
		response, err := r.client.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
		r.mu.Lock()
		rep.nextControlNode++
		r.mu.Unlock()
	}
	return false
}

// replaceAtRandom repeatedly replaces a random replica by a new one at the same address, often after
// draining it.
func (r *replicas) replaceAtRandom(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(1500+random.IntN(2500)) * time.Millisecond):
		}
		r.mu.Lock()
		if len(r.list) == 0 {
			r.mu.Unlock()
			continue
		}
		rep := r.list[random.IntN(len(r.list))]
		r.mu.Unlock()
		if random.IntN(3) > 0 {
			r.drainAndRemove(rep)
		}
		r.replace(rep)
	}
}

// drainAndRemove announces that a replica drains, waits and deletes its registration.
func (r *replicas) drainAndRemove(rep *replica) {
	r.mu.Lock()
	rep.draining = true
	r.mu.Unlock()
	rep.recordLeaving()
	if r.register(rep, "draining") {
		r.check.recordDrain(rep.id)
		r.check.count("drains")
	}
	time.Sleep(drainGrace + time.Second)
	rep.recordGone()
	r.call(rep, http.MethodDelete, nil)
}

// replace stops a replica and starts a new one at its address.
func (r *replicas) replace(rep *replica) {
	if !r.remove(rep) {
		return
	}
	rep.close()
	r.startAgain(rep.host, "")
}
