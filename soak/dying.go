package main

import (
	"math/rand/v2"
	"time"
)

const (
	// minPortLag and maxPortLag bound how long after its connections the port of a replica closes that dies late.
	minPortLag = time.Millisecond
	maxPortLag = 5 * time.Millisecond
)

// death is how the process of a replica ends: its connections close in order, its port before them or after them.
type death struct {
	// portLag is how long after the connections the port closes, 0 if it closes before them.
	portLag time.Duration
	// answers is set if the replica goes on to accept and answer until its port closes; else only its host accepts.
	answers bool
}

// drawLateDeath draws a death whose port closes after the connections.
func drawLateDeath(random *rand.Rand) death {
	return death{portLag: drawBetween(random, minPortLag, maxPortLag), answers: random.IntN(2) == 0}
}

// die ends the replica's process.
func (rep *replica) die(d death) {
	rep.recordGone()
	if d.portLag > 0 {
		if !d.answers {
			rep.pause.begin(false)
		}
		rep.conns.closeAll()
		time.Sleep(d.portLag)
	}
	if d.answers || d.portLag == 0 {
		rep.close()
		return
	}
	rep.pause.kill()
	_ = rep.server.Close()
	rep.conns.closeAll()
}
