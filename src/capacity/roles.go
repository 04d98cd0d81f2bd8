package capacity

import (
	"fmt"
	"strings"
)

// The target installation size, and the budgets of one process for control work:
// budgetCPU in percent of a core, budgetMemory in MiB, budgetTraffic in B/s.
const (
	nodes             = 340
	replicas          = 780
	zones             = 6
	totalModels       = 1300
	requestsPerSecond = 3200.0
	tokensPerSecond   = 1.2e6
	changesPerDay     = 3200.0
	secondsPerDay     = 86400.0
	heartbeatSeconds  = 3.0
	budgetCPU         = 2.1
	budgetMemory      = 32.0
	budgetTraffic     = 2048.0
)

// fittedLines holds the line fitted to the samples of each series.
type fittedLines map[string]line

func fitAll(samples []Sample) fittedLines {
	lines := fittedLines{}
	for _, kind := range allSeries {
		lines[kind.name] = fit(samplesOf(samples, kind.name))
	}
	return lines
}

// row is one figure of a role at the target installation size.
type row struct {
	role       string
	figure     string
	derivation string
	value      float64
	unit       string
	budget     float64
}

// rows computes the figures of all roles from the fitted lines.
func rows(samples []Sample) []row {
	l := fitAll(samples)
	perNode := requestsPerSecond / nodes
	tokens := tokensPerSecond / requestsPerSecond
	requestCPU := l["gateway: processor time of 1,000 requests"].valueAt(tokens) / 1000
	changeCPU := l["control: processor time for one change, all three"].valueAt(nodes)
	heartbeatCPU := l["control: processor time for 100 heartbeats"].valueAt(nodes) / 100
	heartbeatRate := nodes / heartbeatSeconds
	changeRate := changesPerDay / secondsPerDay
	controlNodeCPU := (changeCPU*changeRate + heartbeatCPU*heartbeatRate) / 3 / 10
	return []row{
		{"gateway, 340", "control processor time", "idle share at 780 hosts", l["gateway: processor share, idle"].valueAt(replicas), "% of a core", budgetCPU},
		{"gateway, 340", "control traffic", "idle traffic at 780 hosts, in and out", l["gateway: control traffic, idle"].valueAt(replicas), "B/s", budgetTraffic},
		{"gateway, 340", "anonymous memory", "idle at 780 hosts and 1,300 models", l["gateway: anonymous memory, idle"].valueAt(replicas), "MiB", budgetMemory},
		{"gateway, 340", "requests' processor time", fmt.Sprintf("%.1f requests/s of %.0f tokens at %s ms", perNode, tokens, format(requestCPU)), perNode * requestCPU / 10, "% of a core", 0},
		{"control, 3", "processor time, each", fmt.Sprintf("%s changes/s at %s ms and %.0f heartbeats/s at %s ms, over three", format(changeRate), format(changeCPU), heartbeatRate, format(heartbeatCPU)), controlNodeCPU, "% of a core", 0},
		{"control, 3", "one change to 340 processes", "bytes out of all three", l["control: bytes out for one change"].valueAt(nodes) / 1024, "KiB", 0},
		{"control, 3", "time in force, p99", "at 340 subscribers", l["control: time in force, p99"].valueAt(nodes), "ms", 4000},
		{"control, 3", "anonymous memory", "at 1,300 models, with 340 subscribers before", l["control: anonymous memory by configuration"].valueAt(totalModels), "MiB", 0},
		{"control, 3", "all 340 restart at once", "full configuration to each", l["control: full configuration"].valueAt(totalModels) * nodes / 1024, "MiB", 0},
		{"planner, 6", "processor time", "130 hosts a zone", l["planner: processor share"].valueAt(replicas / zones), "% of a core", budgetCPU},
		{"planner, 6", "traffic with engines and gateways", "130 hosts a zone, reports every second", l["planner: control traffic"].valueAt(replicas/zones) / 1024, "KiB/s", budgetTraffic / 1024},
		{"planner, 6", "anonymous memory", "130 hosts a zone", l["planner: anonymous memory"].valueAt(replicas / zones), "MiB", budgetMemory},
	}
}

// RenderRoles returns the page's table of roles at the target installation size.
func RenderRoles(samples []Sample) string {
	var b strings.Builder
	b.WriteString("| role | figure | worked out from | at the letter's size | budget |\n|---|---|---|---|---|\n")
	for _, r := range rows(samples) {
		budget := "-"
		if r.budget > 0 {
			budget = format(r.budget) + ", met"
			if r.value > r.budget {
				budget = format(r.budget) + ", **broken**"
			}
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s %s | %s |\n", r.role, r.figure, r.derivation, format(r.value), r.unit, budget)
	}
	return b.String()
}
