package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// What a measurement of streams that are taken up after the loss of all gateways does.
const (
	rejoinedDuration = 40 * time.Second
	// rejoinedStreams is how many streams are under way as the processes are killed.
	rejoinedStreams = 240
	// rejoinedBegun is how long the streams last before.
	rejoinedBegun = 80 * time.Millisecond
)

// takeUpGroup is a group of clients that take their streams up.
type takeUpGroup struct {
	after time.Duration
	// named is set if they name the attempt that began the stream.
	named bool
}

var takeUpGroups = []takeUpGroup{{1500 * time.Millisecond, true}, {11500 * time.Millisecond, true}, {11500 * time.Millisecond, false}, {20 * time.Second, false}}

// heldStream is what a client holds of a stream whose gateway was killed.
type heldStream struct {
	id   string
	part streamPart
}

// rejoinedLoss is what is lost together while streams are under way.
type rejoinedLoss struct {
	// controls is set if the control nodes are killed with the gateways.
	controls bool
	// crash is set if the replicas of one software version crash, otherwise they deregister.
	crash bool
}

// measureRejoined lets all replicas of one software version end while streams are under way, kills all
// gateways, and counts what clients get that take their streams up.
func measureRejoined(loss rejoinedLoss) func(ctx context.Context, r *replicas, c *clients) {
	return func(ctx context.Context, r *replicas, c *clients) {
		held := make(chan heldStream, rejoinedStreams)
		var work sync.WaitGroup
		for i := range rejoinedStreams {
			gateway := c.in.gatewayNodes()[i%len(c.in.gatewayNodes())]
			work.Go(func() { held <- c.readUntilLost(gateway) })
		}
		time.Sleep(rejoinedBegun)
		left := r.leaveAll("v1", !loss.crash)
		members := c.in.gatewayNodes()
		if loss.controls {
			members = c.in.members
		}
		killedAt := time.Now()
		var starts sync.WaitGroup
		for _, m := range members {
			starts.Go(func() { c.in.restart(m, syscall.SIGKILL, endsDowntime, nil) })
		}
		work.Wait()
		close(held)
		for _, rep := range left {
			rep.close()
		}
		starts.Wait()
		c.takeUpAll(killedAt, held)
		<-ctx.Done()
	}
}

// leaveAll takes all replicas of a software version off the list and returns them; they serve on. Control
// nodes are told if deregister is set.
func (r *replicas) leaveAll(software string, deregister bool) []*replica {
	r.mu.Lock()
	all := append([]*replica(nil), r.list...)
	r.mu.Unlock()
	var left []*replica
	var calls sync.WaitGroup
	for _, rep := range all {
		if rep.software == software && r.remove(rep) {
			left = append(left, rep)
			if deregister {
				calls.Go(func() { r.call(rep, http.MethodDelete, nil) })
			}
		}
	}
	calls.Wait()
	return left
}

// readUntilLost begins a stream and reads it until it ends in whatever way.
func (c *clients) readUntilLost(gateway *member) heldStream {
	id := c.id()
	got := sendStream(c.in.processAddress(gateway, c.in.callPort()), endsClass{"e", "HTTP/1.1"}, id, "", 0)
	return heldStream{id: id, part: parseStream(got.body)}
}

// takeUpAll takes the streams up in groups and prints what became of them.
func (c *clients) takeUpAll(killedAt time.Time, held <-chan heldStream) {
	var mu sync.Mutex
	joined, resumed, tried := map[takeUpGroup]int{}, map[takeUpGroup]int{}, map[takeUpGroup]int{}
	var work sync.WaitGroup
	turn := 0
	for stream := range held {
		if stream.part.last == 0 || stream.part.last == streamEvents {
			continue
		}
		turn++
		group := takeUpGroups[turn%len(takeUpGroups)]
		gateway := c.in.gatewayNodes()[turn/len(takeUpGroups)%len(c.in.gatewayNodes())]
		work.Go(func() {
			time.Sleep(time.Until(killedAt.Add(group.after)))
			begun := stream.id
			if !group.named {
				begun = ""
			}
			got := sendStream(c.in.processAddress(gateway, c.in.callPort()), endsClass{"e", "HTTP/1.1"}, c.id(), begun, stream.part.last)
			part := parseStream(got.body)
			mu.Lock()
			defer mu.Unlock()
			tried[group]++
			resumed[group] += asNumber(part.last == streamEvents)
			joined[group] += asNumber(part.software != "" && part.software != stream.part.software)
		})
	}
	work.Wait()
	for _, group := range takeUpGroups {
		fmt.Printf("back after %s, attempt named %v: %d streams, taken up %d, of two versions %d\n", group.after, group.named, tried[group], resumed[group], joined[group])
	}
}
