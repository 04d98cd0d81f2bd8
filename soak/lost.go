package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// requestDeadline is the time that clients set for an answer.
	requestDeadline = 3 * time.Second
	// lastRequestTime is how long after the signal to stop the last byte of a request may be sent that a gateway may
	// end at the limit of its stop.
	lastRequestTime = 3 * time.Second
	// resumableKind is the kind of the streams with which another run may go on.
	resumableKind = "e"
	// linkReadTime is how long a gateway may take to read that its links are up again.
	linkReadTime = 200 * time.Millisecond
	// causeNoProof is the cause of an early end if nothing proved that the run's answer was whole, and nobody was bound to know.
	causeNoProof = "no proof of its end"
)

// endedAnswer is an answer that came without its whole body.
type endedAnswer struct {
	id, kind, gateway string
	// firstByteAt is when the first byte of the request was sent, lastByteAt when its last one was, the zero time if the
	// request was not sent whole.
	firstByteAt, lastByteAt time.Time
	endedAt                 time.Time
	// deadline is the time for the answer, 0 for requestDeadline.
	deadline time.Duration
	// status is 0 if there was no answer.
	status int
	// stamp names the replica that began the answer, "" if that is not known.
	stamp string
}

// replicaRun is one run of a request at a replica.
type replicaRun struct {
	id  string
	rep *replica
	// sender is the gateway that sent the request to the replica, "" if that is not known.
	sender string
	// arrivedAt is when the request reached the replica's host, begunAt when the replica had read it.
	arrivedAt, begunAt time.Time
	// endedAt is when the replica had written its answer or given it up, the zero time before.
	endedAt time.Time
	// unframed is set if the answer has neither a length nor chunks, so that nothing proves its end.
	unframed bool
	// copied is the run where runs can be copied, else nil.
	copied *streamRun
	// wroteEvents is set once a stream has an event. One that ends without any never ends as complete.
	wroteEvents bool
	// cut is set if the connection ended before the replica had written its answer, brokeOff if the replica
	// broke its answer off.
	cut, brokeOff bool
}

// stop returns what is closed once a call stops the run, nil if there are no such calls.
func (run *replicaRun) stop() <-chan struct{} {
	if run.copied == nil {
		return nil
	}
	return run.copied.stop
}

// atWork reports whether a replica was still at work on a run at a time, or until it was cut.
func (run *replicaRun) atWork(at time.Time) bool {
	return run.cut || run.endedAt.IsZero() || run.endedAt.After(at)
}

// wholeToTheClose reports whether a replica had written an answer with neither a length nor chunks whole at a time.
func (run *replicaRun) wholeToTheClose(at time.Time) bool {
	return run.unframed && !run.cut && !run.endedAt.IsZero() && !run.endedAt.After(at)
}

// arrival is when a request reached a replica's host.
type arrival struct {
	rep *replica
	at  time.Time
}

// lostChecks finds answers that ended early although the replica was sound and at work on them. It is safe
// for concurrent use.
type lostChecks struct {
	mu sync.Mutex
	// runs holds the run of each request that was sent last, reached the replica that its bytes reached last,
	// which may not have read them.
	runs map[string]*replicaRun
	// byStamp holds the last run of each request at each replica.
	byStamp map[string]*replicaRun
	reached map[string]arrival
	// unframed holds the last run of each request whose answer has neither a length nor chunks.
	unframed map[string]*replicaRun
	answers  []endedAnswer
	// causes counts the answers by what explains their ends.
	causes map[string]int
	lost   int
	// closesShort is when the replicas of each software version first closed a framed stream short in order, and lived on.
	closesShort map[string]time.Time
	// toTheClose counts streams of which a run has neither a length nor chunks and was written whole.
	toTheClose toTheCloseCount
}

// toTheCloseCount counts streams that their replica wrote whole, with neither a length nor chunks.
type toTheCloseCount struct {
	// whole counts those that ended as such at their client, cutOff the others, nearStop those of them that are lost by
	// the users' rule, since the gateway had been told to stop less than plannedWorkTime before and nothing else explains the
	// end.
	whole, cutOff, nearStop int
}

// String describes the counts.
func (c toTheCloseCount) String() string {
	return fmt.Sprintf("streams to the close that their replica wrote whole: with an end %d, without one %d, %d of them around a stop alone", c.whole, c.cutOff, c.nearStop)
}

// isStreamKind reports whether answers of a kind are streams.
func isStreamKind(kind string) bool { return kind == resumableKind || kind == "n" }

// beginRun records that a replica runs a request. One that was paused may begin after a replica that the request
// was sent to later.
func (l *lostChecks) beginRun(id string, rep *replica, sender string, arrivedAt time.Time) *replicaRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := &replicaRun{id: id, rep: rep, sender: sender, arrivedAt: arrivedAt, begunAt: time.Now()}
	l.byStamp[stampOf(rep.id, id)] = run
	if last := l.runs[id]; last == nil || !arrivedAt.Before(last.arrivedAt) {
		l.runs[id] = run
	}
	return run
}

// stampOf returns the value of stampHeader of a replica's answer.
func stampOf(replica, id string) string { return replica + "." + id }

// counted returns the run by which the end of an answer is judged; the lock is held. It is the one that has begun the
// answer, as two attempts may be under way until one of them is answered. With a stream another run may have gone on:
// there it is the one that was sent last, unless that was cut while the one that has begun the answer went on.
func (l *lostChecks) counted(answer endedAnswer) *replicaRun {
	last, begun := l.runs[answer.id], l.byStamp[answer.stamp]
	switch {
	case last == nil || begun == nil:
		return last
	case answer.kind != resumableKind:
		return begun
	case !last.cut || last.endedAt.IsZero():
		return last
	}
	if !begun.endedAt.IsZero() && begun.endedAt.Before(last.endedAt) {
		return last
	}
	return begun
}

// recordArrival records when a request reached a replica's host.
func (l *lostChecks) recordArrival(id string, rep *replica, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !at.Before(l.reached[id].at) {
		l.reached[id] = arrival{rep: rep, at: at}
	}
}

// endRun records that a replica ended a run, which it can't do while it is paused.
func (l *lostChecks) endRun(run *replicaRun) {
	run.rep.pause.wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	run.endedAt = time.Now()
}

// recordEvents records that a replica has written an event of a run.
func (l *lostChecks) recordEvents(run *replicaRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.wroteEvents = true
}

// recordCut records that the connection of a run ended before its answer.
func (l *lostChecks) recordCut(run *replicaRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.cut = true
}

// recordUnframed records that a replica's answer has neither a length nor chunks.
func (l *lostChecks) recordUnframed(run *replicaRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.unframed = true
	l.unframed[run.id] = run
}

// recordBrokenOff records that a replica breaks its answer off.
func (l *lostChecks) recordBrokenOff(run *replicaRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.brokeOff = true
}

// recordAnswer records an answer unless it came whole or says that the request has not run.
func (l *lostChecks) recordAnswer(answer endedAnswer, whole bool) {
	l.recordToTheClose(answer, whole)
	switch {
	case answer.status == http.StatusOK && whole, answer.status == http.StatusServiceUnavailable:
		return
	case answer.status != 0 && answer.status != http.StatusOK && answer.status < http.StatusInternalServerError:
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, answer)
}

// recordToTheClose counts a whole stream whose run has neither a length nor chunks.
func (l *lostChecks) recordToTheClose(answer endedAnswer, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := l.unframed[answer.id]
	l.toTheClose.whole += asNumber(whole && answer.status == http.StatusOK && isStreamKind(answer.kind) && run != nil && !run.brokeOff)
}

// addCutOff counts a stream that its replica wrote whole, with neither a length nor chunks, and that its client got without an
// end; the lock is held.
func (l *lostChecks) addCutOff(answer endedAnswer, strikes *strikeLog, stop plannedStop) {
	if !isStreamKind(answer.kind) {
		return
	}
	l.toTheClose.cutOff++
	explained := strikes.explaining(answer.gateway, answer, false, stop) != "" || strikes.explaining(l.counted(answer).sender, answer, false, stop) != ""
	l.toTheClose.nearStop += asNumber(!explained && strikes.stopped(answer.gateway, answer.endedAt))
}

// cause returns what explains that an answer ended without its whole body, "" if nothing does; the lock is
// held.
func (l *lostChecks) cause(answer endedAnswer, strikes *strikeLog, stop plannedStop) string {
	run := l.counted(answer)
	switch {
	case run == nil:
		return "did not run"
	case answer.timeOver():
		return "deadline"
	case run.brokeOff:
		return "broken off by the replica"
	case run.rep.goneBy(answer.endedAt):
		return "end of the replica"
	case l.reachedLater(answer.id, run) && l.reached[answer.id].rep.goneBy(answer.endedAt):
		return "end of a replica that had not begun"
	case run.wholeToTheClose(answer.endedAt):
		if l.isProven(answer, run, strikes) {
			break
		}
		return causeNoProof
	}
	for _, gateway := range []string{answer.gateway, run.sender} {
		if name := strikes.explaining(gateway, answer, run.atWork(answer.endedAt), stop); name != "" {
			return name
		}
	}
	return ""
}

// isProven reports whether a stream that its replica had written whole to the close was bound to end as such around a stop
// of its gateway: the replica closed in order, served on, its start was known, and no software like it was seen to close
// short; the lock is held.
func (l *lostChecks) isProven(answer endedAnswer, run *replicaRun, strikes *strikeLog) bool {
	if !isStreamKind(answer.kind) || !run.wroteEvents || run.rep.takenForEarlier(run.arrivedAt) || !strikes.stopped(answer.gateway, answer.endedAt) {
		return false
	}
	short := l.closesShort[run.rep.software]
	return (short.IsZero() || short.After(answer.endedAt)) && run.rep.servedBetween(run.endedAt, answer.endedAt)
}

// servedBetween reports whether the replica, which had not ended, could be asked what became of it from one time to another:
// it had not been told to leave, was not silent, and did not answer that without end.
func (rep *replica) servedBetween(from, to time.Time) bool {
	return !rep.leavesBy(to) && !rep.pause.activeBetween(from, to) && !rep.reportedEndlessly(from, to)
}

// recordShortClose records that a replica of a software version closes a framed stream short in order, and lives on.
func (l *lostChecks) recordShortClose(software string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closesShort[software].IsZero() {
		l.closesShort[software] = time.Now()
	}
}

// timeOver reports whether the time for the answer was over, which gateways count from the first byte.
func (a endedAnswer) timeOver() bool {
	deadline := a.deadline
	if deadline == 0 {
		deadline = requestDeadline
	}
	return a.endedAt.Sub(a.firstByteAt) >= deadline-deadlineSlack
}

// reachedLater reports whether a request reached another replica after the one of a run; the lock is held.
func (l *lostChecks) reachedLater(id string, run *replicaRun) bool {
	last := l.reached[id]
	return last.rep != nil && last.rep != run.rep && !last.at.Before(run.arrivedAt)
}

// findings returns a description of each answer whose early end nothing explains. The others, if they ran, are
// written to log with their causes.
func (l *lostChecks) findings(strikes *strikeLog, stop plannedStop, log io.Writer) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, answer := range l.answers {
		cause := l.cause(answer, strikes, stop)
		if cause != "" {
			l.causes[cause]++
			if cause == causeNoProof {
				l.addCutOff(answer, strikes, stop)
			}
			if run := l.counted(answer); run != nil {
				fmt.Fprintf(log, "soak: %s: %s\n", cause, answer.describe(run))
			}
			continue
		}
		l.lost++
		if run := l.counted(answer); l.isProven(answer, run, strikes) && run.wholeToTheClose(answer.endedAt) {
			l.addCutOff(answer, strikes, stop)
		}
		found = append(found, answer.describe(l.counted(answer)))
	}
	return found
}

// describe describes an answer that ended early.
func (a endedAnswer) describe(run *replicaRun) string {
	end := "was cut"
	if !run.cut {
		end = "ended"
	}
	after := "is still under way"
	if !run.endedAt.IsZero() {
		after = fmt.Sprintf("%s %s after it", end, round(run.endedAt.Sub(a.endedAt)))
	}
	sent := "its last byte was never sent"
	if !a.lastByteAt.IsZero() {
		sent = fmt.Sprintf("%s after its last one", round(a.endedAt.Sub(a.lastByteAt)))
	}
	return fmt.Sprintf("request %s /%s at %s ended with status %d at %s, %s after its first byte was sent and %s; its run at %s, sent by %s, arrived %s and began %s after the first byte and %s; the replica was %s",
		a.id, a.kind, a.gateway, a.status, a.endedAt.Format("15:04:05.000"), round(a.endedAt.Sub(a.firstByteAt)), sent, run.rep.id, run.sender, round(run.arrivedAt.Sub(a.firstByteAt)), round(run.begunAt.Sub(a.firstByteAt)), after, run.rep.pause.describe(a.firstByteAt, a.endedAt))
}

// String describes the counts.
func (l *lostChecks) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("answers that ended early %d, lost %d, the others by %v; %s", len(l.answers), l.lost, l.causes, l.toTheClose)
}

// checkLost checks that no answer of a sound replica ended early.
func (c *checker) checkLost(in *installation) {
	for _, finding := range c.lost.findings(&in.strikes, in.stop, in.replicaLog) {
		c.fail("lost", "%s", finding)
	}
}
