package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// partFleet is a simulated fleet whose requests have prompts of two shared parts.
type partFleet struct {
	*simFleet
	random *rand.Rand
	// firsts and seconds are the numbers of harmless parts that may stand first and second.
	firsts, seconds int
	// poison are the parts that crash replicas, which stand at poisonIndex of their prompts.
	poison      []string
	poisonIndex int
	// companion is the other shared part of all prompts with poison, "" if they differ.
	companion string
	// poisonInterval is the time between poisonous requests, which come poisonBurst at once.
	poisonInterval time.Duration
	poisonBurst    int
	// lossInterval is the time between losses of lossShare of the replicas, 0 for none.
	lossInterval time.Duration
	lossShare    float64
	// restartInterval is the time between restarts of gateways, 0 for none.
	restartInterval time.Duration

	contents, poisonSent int
}

// drawPartFleet draws a fleet and its troubles.
func drawPartFleet(seed uint64) *partFleet {
	random := rand.New(rand.NewPCG(seed, 3))
	p := &partFleet{simFleet: newSimFleet(seed, 1+random.IntN(9), 4+random.IntN(20)), random: random}
	p.firsts, p.seconds = 1+random.IntN(30), 1+random.IntN(200)
	p.beginTime = time.Duration(20+random.IntN(200)) * time.Millisecond
	p.runTime = p.beginTime + time.Duration(random.IntN(1500))*time.Millisecond
	p.affinity = []float64{0, 0.5, 0.9}[random.IntN(3)]
	p.messageLoss = []float64{0, 0, 0.2}[random.IntN(3)]
	p.poisonIndex = random.IntN(2)
	for i := range 1 + random.IntN(3) {
		p.poison = append(p.poison, fmt.Sprint("poison-", i))
	}
	if random.IntN(3) == 0 {
		p.companion = "companion"
	}
	p.poisonInterval, p.poisonBurst = time.Duration(100+random.IntN(1400))*time.Millisecond, 1
	if random.IntN(4) == 0 {
		p.poisonInterval, p.poisonBurst = 3*p.poisonInterval, 6
	}
	switch random.IntN(4) {
	case 0:
		p.lossInterval, p.lossShare = 2*time.Second, 1./8
	case 1:
		p.lossInterval, p.lossShare = 5*time.Second, 1./2
	case 2:
		p.lossInterval = time.Second // one replica
	}
	if random.IntN(4) == 0 {
		p.restartInterval = 3 * time.Second
	}
	if random.IntN(4) == 0 && len(p.gateways) > 1 {
		p.partitionedUntil = noon.Add(time.Duration(5+random.IntN(10)) * time.Second)
	}
	return p
}

// skewed draws a number below n; small ones are more frequent.
func (p *partFleet) skewed(n int) int {
	return int(float64(n) * p.random.Float64() * p.random.Float64() * p.random.Float64())
}

func (p *partFleet) harmlessParts() []string {
	return []string{fmt.Sprint("first-", p.skewed(p.firsts)), fmt.Sprint("second-", p.skewed(p.seconds))}
}

func (p *partFleet) sendParts(parts []string, poison bool) {
	p.contents++
	gateway := p.random.IntN(len(p.gateways))
	if poison && gateway == 0 && p.now.Before(p.partitionedUntil) {
		return
	}
	p.sendRequest(simRequest{content: testDigest(p.contents), parts: PartKeys(parts), gateway: gateway, poison: poison, retries: 1})
}

func (p *partFleet) sendPoison() {
	parts := p.harmlessParts()
	if p.companion != "" {
		parts[1-p.poisonIndex] = p.companion
	}
	parts[p.poisonIndex] = p.poison[p.poisonSent%len(p.poison)]
	p.poisonSent++
	p.sendParts(parts, true)
}

func (p *partFleet) sendHarmless() {
	parts := p.harmlessParts()
	if p.companion != "" && p.random.IntN(10) == 0 {
		parts[1-p.poisonIndex] = p.companion
	}
	p.sendParts(parts, false)
}

// every reports whether a time that comes at intervals is due; an interval of 0 never is.
func (p *partFleet) every(interval time.Duration) bool {
	return interval > 0 && p.now.Sub(noon)%interval == 0
}

// run lets the fleet serve harmless requests, and poisonous ones from warmUp on.
func (p *partFleet) run(warmUp, duration time.Duration) {
	next := noon.Add(warmUp)
	for p.now.Before(noon.Add(duration)) {
		if len(p.poison) > 0 && !p.now.Before(next) {
			next = next.Add(p.poisonInterval)
			for range p.poisonBurst {
				p.sendPoison()
			}
		}
		for range p.random.IntN(3) {
			p.sendHarmless()
		}
		if p.every(p.lossInterval) {
			first := p.random.IntN(len(p.replicas))
			for i := range max(int(p.lossShare*float64(len(p.replicas))), 1) {
				p.failReplica(p.replicas[(first+i)%len(p.replicas)])
			}
		}
		if p.every(p.restartInterval) {
			i := p.random.IntN(len(p.gateways))
			p.gateways[i], p.sentVersions[i] = NewTracker(newTestTable()), 0
			p.gateways[i].MergeFromControl(p.now, p.control.Entries(p.now, 2))
		}
		p.step()
	}
}

// TestAPoisonousPartIsBoundedAndNobodyElse sends requests that share parts which crash the replicas that
// begin to answer them, while replicas also end for other reasons, messages are lost, gateways restart and
// one is disconnected. At most three more replicas end for each part later than simPropagationLimit after
// the fifth one, and less than one in 1,000 of the other requests is refused.
func TestAPoisonousPartIsBoundedAndNobodyElse(t *testing.T) {
	const fleets, warmUp, duration = 60, 3 * time.Second, 15 * time.Second
	refused, sent, crashes, parts := 0, 0, 0, 0
	for seed := range uint64(fleets) {
		p := drawPartFleet(seed)
		p.run(warmUp, duration)
		if late := p.lateAfter(5 * len(p.poison)); late > 3*len(p.poison) {
			t.Errorf("seed %d: %d failures later than simPropagationLimit, %d in all under %d parts", seed, late, len(p.poisonFailures), len(p.poison))
		}
		if p.wronglyRefused*100 > p.sent {
			t.Errorf("seed %d: of %d requests of others %d were refused, by part %v", seed, p.sent, p.wronglyRefused, p.refusedParts)
		}
		refused, sent = refused+p.wronglyRefused, sent+p.sent
		crashes, parts = crashes+len(p.poisonFailures), parts+len(p.poison)
	}
	t.Logf("%d fleets: %d failures under %d parts; of %d requests of others %d were refused", fleets, crashes, parts, sent, refused)
	if refused*1000 > sent {
		t.Errorf("of %d requests of others %d were refused", sent, refused)
	}
}

// TestLossesQuarantineNoPart ends replicas again and again while no part crashes any.
func TestLossesQuarantineNoPart(t *testing.T) {
	const fleets, duration = 30, 15 * time.Second
	refused, sent := 0, 0
	for seed := range uint64(fleets) {
		p := drawPartFleet(1000 + seed)
		p.poison, p.lossInterval, p.lossShare = nil, []time.Duration{time.Second, 5 * time.Second}[seed%2], []float64{0, 0.5}[seed%2]
		p.run(0, duration)
		if p.wronglyRefused*100 > p.sent {
			t.Errorf("seed %d: of %d requests %d were refused, by part %v", seed, p.sent, p.wronglyRefused, p.refusedParts)
		}
		refused, sent = refused+p.wronglyRefused, sent+p.sent
	}
	t.Logf("of %d requests %d were refused", sent, refused)
	if refused*1000 > sent {
		t.Errorf("of %d requests %d were refused", sent, refused)
	}
}
