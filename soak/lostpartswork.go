package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"
)

// The planned work of a measurement.
const (
	// partsStopPause is the time from one stop of a gateway to the next, partsDowntime how long a gateway that stopped is gone.
	partsStopPause = 5 * time.Second
	partsDowntime  = time.Second
	// partsHangupPause is the time from one series of SIGHUPs to the next, partsHangups the longest series and
	// partsHangupGap the pause within one.
	partsHangupPause = 700 * time.Millisecond
	partsHangups     = 3
	partsHangupGap   = 150 * time.Millisecond
	// partsChangePause and partsQuickPause are the pauses between two changes, partsChangeSpell how long changes go on
	// and then rest.
	partsChangePause = time.Second
	partsQuickPause  = 500 * time.Millisecond
	partsChangeSpell = 8 * time.Second
	// partsLeavePause is the pause between two servers that leave.
	partsLeavePause = 2 * time.Second
	// throttledTime is for how long of throttlePeriod a throttled gateway does not run.
	throttledTime  = 60 * time.Millisecond
	throttlePeriod = 100 * time.Millisecond
)

// change sends versions for a while, in every second spell at twice the rate, and rests as long.
func (m *partsMeasurement) change(ctx context.Context) {
	pauses := []time.Duration{partsChangePause, partsQuickPause}
	for spell := 0; ctx.Err() == nil; spell++ {
		for end := time.Now().Add(partsChangeSpell); ctx.Err() == nil && time.Now().Before(end); {
			next := time.Now().Add(pauses[spell%len(pauses)])
			_ = m.configure()
			sleep(ctx, time.Until(next))
		}
		sleep(ctx, partsChangeSpell)
	}
}

// stopInTurn stops gateways one after the other; a stop may begin before the one before it has ended.
func (m *partsMeasurement) stopInTurn(ctx context.Context, random *rand.Rand) {
	gateways := m.in.gatewayNodes()
	var work sync.WaitGroup
	defer work.Wait()
	for turn := random.IntN(len(gateways)); ; turn++ {
		sleep(ctx, partsStopPause+time.Duration(random.Int64N(int64(maxSilenceShift))))
		if ctx.Err() != nil {
			return
		}
		gateway, how := gateways[turn%len(gateways)], platformStop{limit: m.in.stop.limit}
		if m.kind.hangups && random.IntN(2) == 0 {
			how.hangups = 1 + random.IntN(partsHangups)
			for range random.IntN(partsHangups) {
				how.laterHangups = append(how.laterHangups, drawBetween(random, 0, how.limit/2))
			}
		}
		if gateway.serves() && gateway.tryBeginFault() {
			work.Go(func() { m.stop(gateway, how) })
		}
	}
}

// stop stops a gateway as the platform does and starts it again.
func (m *partsMeasurement) stop(gateway *member, how platformStop) {
	defer gateway.endFault()
	m.recordHangup(gateway, how.hangups > 0)
	killed := m.in.stopByPlatform(gateway, how, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		now := time.Now()
		m.work.stops[gateway] = append(m.work.stops[gateway], gatewayStop{signalAt: now})
		for _, after := range how.laterHangups {
			m.work.hangups[gateway] = append(m.work.hangups[gateway], now.Add(after))
		}
		m.note("%s is told to stop, %s", gateway.name, how)
	})
	m.note("%s has stopped, killed %v", gateway.name, killed)
	time.Sleep(partsDowntime)
	m.mu.Lock()
	stops := m.work.stops[gateway]
	stops[len(stops)-1].startedAt = time.Now()
	m.kills += asNumber(killed)
	m.mu.Unlock()
	m.in.startAfter(gateway, 0)
}

// throttle lets a member's process run for a part of the time, as if it had used up its share of a processor.
func (m *member) throttle(ctx context.Context) {
	for ctx.Err() == nil {
		m.signal(syscall.SIGSTOP)
		sleep(ctx, throttledTime)
		m.signal(syscall.SIGCONT)
		sleep(ctx, throttlePeriod-throttledTime)
	}
}

// leaveInTurn lets servers leave, one after the other, and starts others at their places.
func (r *replicas) leaveInTurn(ctx context.Context, random *rand.Rand) {
	var work sync.WaitGroup
	defer work.Wait()
	for {
		sleep(ctx, partsLeavePause)
		if ctx.Err() != nil {
			return
		}
		r.mu.Lock()
		rep := r.list[random.IntN(len(r.list))]
		leaves := rep.draining
		r.mu.Unlock()
		if leaves {
			continue
		}
		work.Go(func() {
			r.drainAndRemove(rep)
			r.replace(rep)
		})
	}
}

// hangUp sends series of SIGHUPs to gateways, whose settings files change each time.
func (m *partsMeasurement) hangUp(ctx context.Context, random *rand.Rand) {
	gateways := m.in.gatewayNodes()
	for {
		sleep(ctx, partsHangupPause)
		if ctx.Err() != nil {
			return
		}
		gateway := gateways[random.IntN(len(gateways))]
		for range 1 + random.IntN(partsHangups) {
			if active, _ := gateway.lastFault(); active || !gateway.serves() {
				break
			}
			m.recordHangup(gateway, true)
			gateway.touchSettings(random.Uint64())
			gateway.signal(syscall.SIGHUP)
			sleep(ctx, partsHangupGap)
		}
	}
}

// touchSettings changes a member's settings file without changing what it says.
func (m *member) touchSettings(number uint64) {
	file, err := os.OpenFile(m.settingsFile, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return
	}
	defer file.Close()
	_, _ = fmt.Fprintf(file, "# %d\n", number)
}

// recordHangup records that a gateway is sent a SIGHUP, if it is.
func (m *partsMeasurement) recordHangup(gateway *member, sent bool) {
	if !sent {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.work.hangups[gateway] = append(m.work.hangups[gateway], time.Now())
	m.note("%s gets a SIGHUP", gateway.name)
}
