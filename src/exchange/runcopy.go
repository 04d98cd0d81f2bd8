package exchange

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/event"
)

// Timeouts and limits of the copy of a run.
const (
	// copyTimeout bounds one question for the copy of a run. Moves between replicas go one after another.
	copyTimeout = time.Second
	// stopRunTimeout bounds the question that makes sure that a run has ended. The client waits for it at the end of
	// its stream, as it does for the rest of a copy that is under way.
	stopRunTimeout = 300 * time.Millisecond
	// maxStopOrders is how often that question is asked while the replica is at work on another one, which takes as long as
	// its move. The pause between two doubles.
	maxStopOrders = 5
	// restartTimeout bounds the order to stop a run that is to go on with another response. Its stream may end long before
	// the reply, which waits for other moves; clients give a stream up after two seconds of silence at the earliest.
	restartTimeout = 2 * time.Second
	// maxCopyTargets is how many replicas at most are offered the copy of a run.
	maxCopyTargets = 3
	// maxCopyReplyBytes is the longest reply to such a question that is read.
	maxCopyReplyBytes = 4 << 10
)

// Reasons for which there is no copy of a run.
var (
	errNoCopyTarget = errors.New("no other replica can take one")
	errVainCopies   = errors.New("copies of this service's runs prove nothing")
	errNotAccepting = errors.New("no other replica can take one, and its own takes no requests now")
	// errUnknownWriter means that no response may be added to the stream, since it is not known what began it.
	errUnknownWriter = errors.New("no other replica can take one, and the software that began the stream is not known")
	errNoRetry       = errors.New("no other replica can take one, and the retry budget is spent")
	// errCloseEnds means that a run need not be stopped.
	errCloseEnds = errors.New("no other replica can take one, and the close of its replica ends its stream")
	// errStopsRefused means that a run which was stopped did not go on.
	errStopsRefused = errors.New("no other replica can take one, and its service lately refused to go on with a stopped run")
	errNoSuchRun    = errors.New("the run had ended before")
)

// CopyCodec asks a replica to copy one of its runs to another replica, where the run can go on.
type CopyCodec struct {
	// EncodeCopy sets the headers of the question and returns its path and body. The replica at the address to gets
	// the copy; with stop, the run ends before.
	EncodeCopy func(header http.Header, replica, request, to string, stop bool) (target string, body []byte)
	// ParseCopy returns the reply to it.
	ParseCopy func(status int, body []byte) CopyReply
	// EncodeDrop sets the headers of the request that frees a copy, and returns its path.
	EncodeDrop func(header http.Header, replica, handle string) (target string)
}

// CopyReply is what a replica replies to the question for a copy of a run.
type CopyReply struct {
	// Status is the status of the reply.
	Status int
	// Handle names the copy, "" if there is none.
	Handle string
	// Made is set if the other replica has the copy, NoRun if the asked one runs no such request.
	Made, NoRun bool
}

// runCopy is the copy of a run whose response has neither a length nor chunks, or one that a replica kept while it grew.
type runCopy struct {
	// backup is set for the latter, which has no handle.
	backup bool
	source *Peer
	// request is the ID of the request that the run is of.
	request string
	// ended is closed once the copy is made or can't be. Only then target, handle and err, which tells why there is none,
	// may be read.
	ended  chan struct{}
	target *Peer
	handle string
	err    error
	// askedAt is when the question for it was asked, renewFrom from when on it may be made again, as renewal.
	askedAt, renewFrom time.Time
	renewal            *runCopy
	// formerHandles name the copies that it was made after at the same replica.
	formerHandles []string
	// refusals counts the questions before that made no copy of the run.
	refusals int
	// places are where the run can go on once it has ended at its source, the best one first.
	places []*copyPlace
	// restart is set if the run is stopped to go on at its source, or if movable is set at moved, nil if that has no copy.
	restart, movable bool
	moved            *Peer
	// over is set once the response of the run has ended.
	over bool
	// ranOut is set if the run had ended by itself before it was to be stopped.
	ranOut bool
	// unanswered is set if the order to stop the run got no reply. It may be carried out later.
	unanswered bool
	// paid is the budget from which the retry was taken, at takenAt, with which the run goes on; nil if none was, or it was used.
	paid    *Budget
	takenAt time.Time
}

// await waits for the end of the question for a copy and reports whether it has ended.
func (r *runCopy) await(ctx context.Context) bool {
	select {
	case <-r.ended:
		return true
	case <-ctx.Done():
		return false
	}
}

// keeper returns the replica whose address names the copy in the request that goes on from it.
func (r *runCopy) keeper() *Peer {
	if r.backup {
		return r.target
	}
	return r.source
}

// hasEnded reports whether the question for a copy has ended.
func (r *runCopy) hasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// awaitAtEnd waits for the copy as its stream has ended, and reports whether the question for it has ended.
func (r *runCopy) awaitAtEnd(ctx context.Context) bool {
	timeout := stopRunTimeout
	if r.restart {
		timeout = restartTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.await(ctx)
}

// awaitMade waits for the copy at the end of its stream. It returns an error if there is none.
func (r *runCopy) awaitMade(ctx context.Context) error {
	if !r.awaitAtEnd(ctx) {
		return errors.New("the copy is still being made")
	}
	return r.err
}

// fail ends the wait for a copy that is not made.
func (r *runCopy) fail(reason error) {
	r.err = reason
	close(r.ended)
}

// String describes the copy for a log line.
func (r *runCopy) String() string {
	if r.err != nil {
		return r.err.Error()
	}
	if r.target == r.source {
		return "stopped, to go on there as " + shorten(r.handle)
	}
	return "copied to " + r.target.ID() + " as " + shorten(r.handle)
}

// copyRun has the run of a response that ends with its connection copied to another replica, if the close of its own proves
// nothing. Once the connection is closed, the other one shows whether something is missing: what it goes on with counts as the
// same run.
func (c *call) copyRun(ctx context.Context, source *Peer) {
	if !c.supportsMoves || !c.mayAskForRest() || c.stream.lastEventID == "" {
		return
	}
	now := c.handler.options.Now()
	if !c.handler.options.ShortCloses.known(now, source.origin()) {
		return
	}
	if c.copied != nil && c.copied.source == source && !c.copied.over {
		c.renewCopy(ctx, now)
		return
	}
	c.dropCopy()
	c.copied = c.secureRun(ctx, now, source)
}

// secureRun has the run of a replica copied, or stopped to go on with another response if that is better or the only way.
func (c *call) secureRun(ctx context.Context, now time.Time, source *Peer) *runCopy {
	h := c.handler
	copied := &runCopy{source: source, request: c.requestInfo.ID, ended: make(chan struct{}), askedAt: now}
	if !h.vainCopies.mayCopy(now, c.service) {
		copied.fail(errVainCopies)
		return copied
	}
	secure, offered := h.makeCopy, c.pickCopyTargets(now)
	if len(offered) == 0 || !c.hasOtherWays() && h.restOutcomes.mustStop(now, c.service) {
		to, err := c.beginRestart(now, copied, offered)
		switch {
		case err == nil:
			secure, offered, copied.restart, copied.movable = h.restartRun, to, true, len(offered) > 0
			c.stopOrders = append(c.stopOrders, copied)
		case len(offered) == 0:
			copied.fail(err)
			return copied
		}
	}
	go func() {
		defer close(copied.ended)
		secure(ctx, copied, offered)
	}()
	return copied
}

// pickCopyTargets returns replicas that can take the copy of the current run, the best one first.
func (c *call) pickCopyTargets(now time.Time) []*Peer {
	want := c.requirements()
	others := slices.Clone(c.tried)
	var targets []*Peer
	for len(targets) < maxCopyTargets {
		target := c.handler.options.Fleet.backupWithRoom(now, want, others)
		if target == nil {
			break
		}
		targets, others = append(targets, target), append(others, target)
	}
	return targets
}

// makeCopy has a run copied to the first of the replicas that takes the copy. A question is not given up once it is asked:
// its reply names the copy, which can't be freed otherwise.
func (h *Handler) makeCopy(ctx context.Context, copied *runCopy, targets []*Peer) {
	for _, copied.target = range targets {
		reply, err := h.askForCopy(context.WithoutCancel(ctx), copied, false, copyTimeout)
		copied.handle, copied.err = reply.Handle, err
		switch {
		case err != nil:
		case reply.NoRun:
			copied.err = errNoSuchRun
		case !reply.Made:
			copied.err = errors.Errorf("its run was not copied to %s: status %d", copied.target.ID(), reply.Status)
		}
		h.logCopy(copied)
		if copied.err == nil || errors.Is(copied.err, errNoSuchRun) || ctx.Err() != nil {
			return
		}
	}
}

// beginRestart takes the retry with which a run goes on that is stopped, and returns the replicas that are offered its copy:
// the given ones, or any if there is none. Where no other replica can take it, a run is stopped once only.
func (c *call) beginRestart(now time.Time, copied *runCopy, offered []*Peer) ([]*Peer, error) {
	if c.restarted && len(offered) == 0 {
		return nil, errNoCopyTarget
	}
	if !c.handler.options.ShortCloses.known(now, copied.source.origin()) {
		return nil, errCloseEnds
	}
	if !c.handler.restOutcomes.mayStop(now, c.service) {
		return nil, errStopsRefused
	}
	if len(offered) == 0 {
		offered = c.otherReplicas(copied.source)
	}
	if len(offered) == 0 {
		return nil, errNoCopyTarget
	}
	if copied.source.unlisted.Load() || !c.handler.options.Fleet.acceptsWithoutPermit(copied.source) {
		return nil, errNotAccepting
	}
	if c.revokeDoubted(); !c.origin.Allows(copied.source.writerOrigin()) {
		return nil, errUnknownWriter
	}
	budget := c.handler.budgets.get(c.service)
	if !budget.Take(now, c.handler.Gateways()) {
		return nil, errNoRetry
	}
	c.restarted, copied.paid, copied.takenAt = true, budget, now
	return offered, nil
}

// orderedToStop reports whether a replica was ordered to stop the run whose stream has ended, or may yet carry out such an
// order. One that it refused, or that found no run, has stopped nothing.
func (c *call) orderedToStop(ctx context.Context, source *Peer) bool {
	return slices.ContainsFunc(c.stopOrders, func(order *runCopy) bool {
		return order.source == source && (!order.awaitAtEnd(ctx) || order.err == nil || order.unanswered)
	})
}

// forgetStopOrders forgets the orders to stop earlier runs, as another run begins, except those that may yet be carried out.
func (c *call) forgetStopOrders() {
	c.stopOrders = slices.DeleteFunc(c.stopOrders, func(order *runCopy) bool { return order.hasEnded() && !order.unanswered })
}

// otherReplicas returns replicas other than the given one that may have the request's data, those that hold the model
// first.
func (c *call) otherReplicas(source *Peer) []*Peer {
	fleet, want := c.handler.options.Fleet, c.requirements()
	var others []*Peer
	for _, held := range []copyKey{{model: c.requestInfo.Model, adapter: c.requestInfo.Adapter}, {model: c.requestInfo.Model}, {}} {
		for _, candidate := range fleet.index.lookup(c.service, held) {
			peer := candidate.peer
			if peer != source && len(others) < maxCopyTargets && !slices.Contains(others, peer) && !fleet.closed(peer) && fleet.mayServe(&want, candidate.zone, peer) {
				others = append(others, peer)
			}
		}
	}
	return others
}

// restartRun stops a run that no other replica can take, so that it goes on at its source with another response. The
// source keeps the memory of the run, whatever becomes of the copy that another replica is offered.
func (h *Handler) restartRun(ctx context.Context, copied *runCopy, offered []*Peer) {
	defer func() {
		if copied.target != copied.source {
			copied.giveBackRetry()
		}
	}()
	for _, copied.target = range offered {
		reply, err := h.askForCopy(context.WithoutCancel(ctx), copied, true, restartTimeout)
		copied.handle, copied.err, copied.unanswered = reply.Handle, err, err != nil
		switch {
		case err != nil:
		case reply.NoRun:
			copied.err = errNoSuchRun
		case reply.Handle == "":
			copied.err = errors.Errorf("its run was not stopped: status %d", reply.Status)
		default:
			if reply.Made && copied.movable {
				copied.moved = copied.target
			}
			copied.target = copied.source
		}
		h.logCopy(copied)
		// An order without a reply may have been taken.
		if copied.target == copied.source || err != nil || reply.NoRun || ctx.Err() != nil {
			return
		}
	}
}

func (h *Handler) logCopy(copied *runCopy) {
	h.options.Ring.Add(event.Event{Kind: event.RunCopied, Request: copied.request, Host: copied.source.ID(), Reason: copied.String()})
}

// logStop logs the reply to the order to stop a run whose stream has ended.
func (h *Handler) logStop(copied *runCopy, reply CopyReply, err error) {
	reason := "asked to stop: status " + strconv.Itoa(reply.Status)
	if err != nil {
		reason = "asked to stop: " + err.Error()
	}
	if reply.Handle != "" {
		reason += ", copy " + shorten(reply.Handle)
	}
	h.options.Ring.Add(event.Event{Kind: event.RunCopied, Request: copied.request, Host: copied.source.ID(), Reason: reason})
}

// askForCopy asks the source of a copy to make it. With stop, the run ends before.
func (h *Handler) askForCopy(ctx context.Context, copied *runCopy, stop bool, timeout time.Duration) (CopyReply, error) {
	codec := &h.options.Codec.Copy
	header := http.Header{}
	target, body := codec.EncodeCopy(header, copied.source.name(), copied.request, copied.target.pool.address, stop)
	question := &outgoingRequest{method: http.MethodPost, target: target, host: copied.source.pool.address, header: header, body: body}
	status, reply, err := h.ask(ctx, copied.source, question, timeout)
	if err != nil {
		return CopyReply{}, errors.Wrap(err, "asking for a copy of its run")
	}
	parsed := codec.ParseCopy(status, reply)
	parsed.Status = status
	return parsed, nil
}

// endAtSource finds the places at which a run can go on. It returns an error unless there is one and the source works on
// the run no more.
func (c *call) endAtSource(ctx context.Context, copied *runCopy) error {
	if err := copied.awaitMade(ctx); err != nil {
		return err
	}
	copied.places = []*copyPlace{{peer: copied.target, handle: copied.handle}}
	if copied.target == copied.source {
		if copied.moved != nil {
			copied.places = append(copied.places, &copyPlace{peer: copied.moved, handle: copied.handle})
		}
		return nil
	}
	reply, lost, err := c.orderEnd(ctx, copied)
	if err != nil {
		return err
	}
	if !lost && !reply.NoRun && reply.Handle == "" {
		return errors.New(copied.source.ID() + " may still be at work on it")
	}
	copied.ranOut = reply.NoRun
	copied.addPlaces(reply)
	return nil
}

// orderEnd asks the source of a copy to stop the run, again if another question is under way or gets no reply. lost is set
// if the source is lost.
func (c *call) orderEnd(ctx context.Context, copied *runCopy) (reply CopyReply, lost bool, err error) {
	for number := 0; ; number++ {
		reply, err = c.handler.askForCopy(ctx, copied, true, stopRunTimeout)
		c.handler.logStop(copied, reply, err)
		if err != nil && proveLoss(ctx, copied.source, nil) != lossUnproven {
			return CopyReply{}, true, nil
		}
		again := err == nil && reply.Status == http.StatusConflict || err != nil && number == 0
		if !again || number == maxStopOrders-1 || !sleep(ctx, minRestPause<<number) {
			return reply, false, err
		}
	}
}

// addPlaces adds the places that the reply to the order to stop names: a run that was still known is kept at its source, and
// under its new name at the other replica if that one has it. An older name may be void.
func (r *runCopy) addPlaces(reply CopyReply) {
	if reply.Handle == "" {
		return
	}
	places := []*copyPlace{{peer: r.source, handle: reply.Handle}}
	if reply.Made {
		places = append([]*copyPlace{{peer: r.target, handle: reply.Handle}}, places...)
	}
	if reply.Handle == r.handle && reply.Made {
		r.places = places
		return
	}
	r.places = append(places, r.places...)
}

// dropCopy frees the copy of a run that was not used.
func (c *call) dropCopy() {
	copied := c.copied
	if copied == nil {
		return
	}
	c.copied = nil
	for _, unused := range []*runCopy{copied, copied.renewal} {
		if unused == nil {
			continue
		}
		go func() {
			<-unused.ended
			unused.giveBackRetry()
			c.handler.freeCopy(unused)
		}()
	}
}

// giveBackRetry gives the retry back with which the run was to go on, if it was not used.
func (r *runCopy) giveBackRetry() {
	if r.paid != nil {
		r.paid.GiveBack(r.takenAt)
		r.paid = nil
	}
}

// dropOtherCopies frees what a stream that went on from a copy could have gone on from instead.
func (c *call) dropOtherCopies() {
	if c.rest == nil {
		return
	}
	copied := c.rest.copied
	c.rest = nil
	for handle := range copied.otherHandles() {
		go c.handler.freeHandle(copied, handle)
	}
}

// otherHandles returns the handles of former copies, and of the places that were not asked last.
func (r *runCopy) otherHandles() map[string]bool {
	handles := map[string]bool{}
	for _, handle := range r.formerHandles {
		handles[handle] = true
	}
	for _, place := range r.places {
		if place.handle != r.handle {
			handles[place.handle] = true
		}
	}
	return handles
}

// freeCopy frees a copy that was made.
func (h *Handler) freeCopy(copied *runCopy) {
	if copied.handle != "" {
		h.freeHandle(copied, copied.handle)
	}
	for handle := range copied.otherHandles() {
		h.freeHandle(copied, handle)
	}
}

// freeHandle frees what a handle names, at the source, which tells the other replica.
func (h *Handler) freeHandle(copied *runCopy, handle string) {
	header := http.Header{}
	target := h.options.Codec.Copy.EncodeDrop(header, copied.source.name(), handle)
	question := &outgoingRequest{method: http.MethodDelete, target: target, host: copied.source.pool.address, header: header}
	if _, _, err := h.ask(context.Background(), copied.source, question, copyTimeout); err != nil {
		h.options.Ring.Add(event.Event{Kind: event.RunCopied, Request: copied.request, Host: copied.source.ID(), Reason: "not freed at " + copied.target.ID() + ": " + err.Error()})
	}
}
