// Command soak runs the real gateways and control nodes as separate processes on loopback addresses
// and injects faults from outside: signals, a proxy in front of each process, lost and unusable data
// folders. During the run it checks what clients, operators and replicas observe. See README.md in
// this folder.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Seed          uint64        `long:"seed" description:"the run's seed" required:"yes"`
	Seconds       int           `long:"seconds" description:"how long faults are injected" default:"20"`
	Gateways      int           `long:"gateways" description:"number of gateways" default:"4"`
	Bin           string        `long:"bin" description:"folder of the programs" default:"target"`
	Folder        string        `long:"folder" description:"folder for settings, data and logs" default:"run/soak"`
	NoBounds      bool          `long:"no-bounds" description:"leave out the checks that bound a time, for a machine whose speed is not known"`
	Measure       string        `long:"measure" description:"instead of faults, run one kind of trouble beside a steady load and print what it met: none, deadly, part, part-losses, part-burst, parts-first, some-losses, one-gateway, losses, rest, rest-all, leaving, limit, limit-all, limit-kills, restarts, foreign, slow-disk, ends, ends-kills, ends-stops (with -mixed, -tenth or -few, -breaks-1, -breaks-10 or -breaks-30, -plain, -alone, -rests, -tokens, -refused, -refused-some, -dropped or -pauses, -leaves, and -single after it, in this order), rejoined, rejoined-all, rejoined-crash, stale-gateway, begun, begun-crash, begun-still, begun-still-two, begun-killed, begun-all, begun-quiet, begun-same, begun-headless, begun-place, begun-moved, begun-heard, begun-beats, begun-two, begun-one, begun-cold, begun-worst, upgrade, back, silence, silence-one, silence-long, silence-accept, silence-early, silence-forward, silence-alone, silence-none, bodies, bodies-slow-replicas, bodies-silence, bodies-at-once, late-signal, late-signal-short, late-signal-long, late-signal-after, late-signal-bodies, hup-then-term, lost-parts (with -stops, -sighup, -config, -kept or -power, -forward, -throttled and -framed after it, in this order)"`
	Old           string        `long:"old" description:"commit of an earlier build: with --measure upgrade or back, what is replaced by this build, or what this build is replaced by"`
	Order         string        `long:"order" description:"which processes are replaced first" choice:"controls" choice:"gateways" choice:"mixed" default:"controls"`
	SyncWait      time.Duration `long:"sync-wait" description:"let each sync of each control node wait so long, for the whole run"`
	OldDisks      bool          `long:"old-disks" description:"leave out the spells of slow disks, as in runs of earlier builds of this program"`
	NoSilence     bool          `long:"no-silence" description:"leave out the pauses of replicas and the short queues of new connections, as in runs of earlier builds of this program"`
	NoParts       bool          `long:"no-parts" description:"leave out the requests with parts of prompts that crash replicas, as in runs of earlier builds of this program"`
	NoBodies      bool          `long:"no-bodies" description:"leave out the requests whose bodies are sent over time, as in runs of earlier builds of this program"`
	NoLateSignals bool          `long:"no-late-signals" description:"leave out the stops beside the other faults, those that processes learn of late, the SIGHUPs around stops and the long lag of the balancer, as in runs of earlier builds of this program"`
	NoUnframed    bool          `long:"no-unframed" description:"leave out the spells in which replicas give no answer a length or chunks, as in runs of earlier builds of this program"`
	Copies        bool          `long:"copies" description:"let replicas copy runs to others, and go on from copies"`
	LaggingNode   string        `long:"lagging-node" description:"at the loss of power one control node lacks the last change, and those that have it come back late: with disks that hang, started late, or both as after syncs that are stuck in the kernel" choice:"hung-disks" choice:"late-start" choice:"stuck-syncs"`
	Port          int           `long:"port" description:"first of the ports used on every address" default:"17400"`
}

// settleTime is how long the processes have to recover after the last fault.
const settleTime = 8 * time.Second

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if o.Measure != "" {
		if err := measurementOf(o.Measure)(o); err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			os.Exit(1)
		}
		return
	}
	findings, err := run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
	for _, finding := range findings {
		fmt.Println("BROKEN:", finding)
	}
	if len(findings) > 0 {
		fmt.Printf("seed %d: %d findings; logs in %s\n", o.Seed, len(findings), o.Folder)
		os.Exit(3)
	}
}

// run executes one seed and returns its findings.
func run(o options) ([]string, error) {
	random := rand.New(rand.NewPCG(o.Seed, 1))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	in, err := newInstallation(o, drawPlannedStop(o))
	if err != nil {
		return nil, err
	}
	defer in.shutDown()
	go in.shutDownOnSignal()
	check := newChecker()
	check.timeBounds = !o.NoBounds
	check.links.senders = in.senders()
	zones := newZoneDrains()
	silenceRandom := rand.New(rand.NewPCG(o.Seed, 18))
	plan := replicaPlan{count: replicaCount, slots: replicaSlots, backlog: drawBacklog(o, silenceRandom), closesShort: drawClosesShort(o)}
	replicas, err := newReplicas(in, check, zones, plan)
	if err != nil {
		return nil, err
	}
	defer replicas.close()
	if o.Copies {
		replicas.copies = newRunCopies(replicas.replicaAt)
	}
	if err := in.startAll(); err != nil {
		return nil, err
	}
	operators := newOperators(in, check, zones)
	if err := operators.createConfiguration(); err != nil {
		return nil, err
	}
	go replicas.sendHeartbeats(ctx)
	go replicas.sendMalformedCalls(ctx, rand.New(rand.NewPCG(o.Seed, 9)))
	go replicas.replaceAtRandom(ctx, rand.New(rand.NewPCG(o.Seed, 2)))
	faultCtx, endFaults := context.WithCancel(ctx)
	defer endFaults()
	go replicas.announceBackoffs(faultCtx, rand.New(rand.NewPCG(o.Seed, 10)))
	go replicas.announceLeaving(ctx, rand.New(rand.NewPCG(o.Seed, 11)))
	go replicas.makeZonesCold(faultCtx, rand.New(rand.NewPCG(o.Seed, 12)))
	go in.cutLinks(faultCtx, check, rand.New(rand.NewPCG(o.Seed, 16)))
	go replicas.limit(faultCtx, rand.New(rand.NewPCG(o.Seed, 14)))
	operators.work.Add(1)
	go operators.drainZones(faultCtx, rand.New(rand.NewPCG(o.Seed, 13)))
	go operators.run(ctx, rand.New(rand.NewPCG(o.Seed, 3)))
	clients := newClients(in, check, replicas)
	clients.sendsDeadlyParts = !o.NoParts
	if err := clients.waitUntilServing(); err != nil {
		return nil, err
	}
	go in.watchMemory(ctx, check)
	go clients.run(ctx, rand.New(rand.NewPCG(o.Seed, 4)))
	in.besideStop = clients.sendBesideStop
	disksCtx, endSlowDisks := context.WithCancel(ctx)
	defer endSlowDisks()
	disks := in.startSlowDisks(disksCtx, rand.New(rand.NewPCG(o.Seed, 15)))
	besideCtx, endBeside := context.WithCancel(ctx)
	defer endBeside()
	silences := replicas.startSilences(besideCtx, silenceRandom)
	unframed := replicas.startUnframedSpells(besideCtx, rand.New(rand.NewPCG(o.Seed, 25)))
	stops := in.startStops(besideCtx, rand.New(rand.NewPCG(o.Seed, 22)))
	in.inject(time.Duration(o.Seconds)*time.Second, random)
	endSlowDisks()
	disks.Wait()
	endBeside()
	silences.Wait()
	unframed.Wait()
	stops.Wait()
	in.endAllFaults()
	endFaults()
	operators.stop()
	operators.drainLast()
	in.blackout(operators, clients, rand.New(rand.NewPCG(o.Seed, 7)))
	clients.stopBodies()
	time.Sleep(settleTime)
	clients.stop()
	operators.readBack()
	clients.checkRecovery()
	in.checkMembership(check)
	check.checkAtEnd(in)
	check.checkParts()
	check.checkLost(in)
	fmt.Printf("seed %d: queues of %d; framed streams closed short %v; %s; %s; %s; %s; %s; %s; %s\n", o.Seed, plan.backlog, plan.closesShort, check.summary(), &replicas.notices, &replicas.limits, &check.links, &check.resumes, &in.stops, &check.lost)
	return check.findings(), nil
}
