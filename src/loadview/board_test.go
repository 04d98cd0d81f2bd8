package loadview

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/moorspool/moorspool/src/wire"
)

var baseTime = time.Unix(1_800_000_000, 0)

func discard(wire.LoadReport) {}

func report(node, replica string, running, unread int) wire.LoadReport {
	return wire.LoadReport{Node: node, Loads: []wire.ReplicaLoad{{Replica: replica, Running: running, UnreadMS: unread}}}
}

// TestTotalsAreTheSumOfTheNewestReports checks that each gateway counts once, with its latest
// report, for any order of reports and sums.
func TestTotalsAreTheSumOfTheNewestReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBoard()
		last := map[string]wire.ReplicaLoad{}
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			node := fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "node"))
			sent := report(node, "r", rapid.IntRange(0, 9).Draw(t, "running"), rapid.IntRange(0, 99).Draw(t, "unread"))
			if rapid.Bool().Draw(t, "a control node") {
				node = "control " + node
				sent.Node = node
				b.RecordSum(baseTime, sent)
			} else {
				b.Report(baseTime, sent, discard)
			}
			last[node] = sent.Loads[0]
		}
		want := wire.ReplicaLoad{Replica: "r"}
		for _, load := range last {
			want.Running += load.Running
			want.UnreadMS += load.UnreadMS
		}
		totals, _, _ := b.Totals(baseTime)
		if len(totals.Loads) != 1 || totals.Loads[0] != want {
			t.Fatalf("totals %+v, want %+v", totals.Loads, want)
		}
	})
}

func TestSumsLeaveOutWhatOtherControlNodesTold(t *testing.T) {
	is := is.New(t)
	b := NewBoard()
	b.Report(baseTime, report("gateway", "r", 2, 30), discard)
	b.RecordSum(baseTime, report("control", "r", 5, 70))
	totals, sum, _ := b.Totals(baseTime)
	is.Equal(totals.Loads, []wire.ReplicaLoad{{Replica: "r", Running: 7, UnreadMS: 100}})
	is.Equal(sum.Loads, []wire.ReplicaLoad{{Replica: "r", Running: 2, UnreadMS: 30}})
}

// TestReportOfASilentGatewayExpires guards against a gateway that hangs or is cut off making its
// replicas look busy forever.
func TestReportOfASilentGatewayExpires(t *testing.T) {
	is := is.New(t)
	b := NewBoard()
	b.Report(baseTime, report("gateway", "r", 2, 30), discard)
	b.RecordSum(baseTime, report("control", "q", 5, 70))
	totals, _, send := b.Totals(baseTime.Add(reportLifetime + 1))
	is.Equal(len(totals.Loads), 0)
	is.Equal(len(send), 0)
}

// TestHangingGatewayDelaysNoOthers checks that rounds go on while a gateway hangs, and that it is
// not sent further totals meanwhile.
func TestHangingGatewayDelaysNoOthers(t *testing.T) {
	is := is.New(t)
	b := NewBoard()
	b.Report(baseTime, report("hangs", "r", 1, 1), discard)
	b.Report(baseTime, report("sound", "r", 1, 1), discard)
	_, _, first := b.Totals(baseTime)
	is.Equal(len(first), 2)
	b.Report(baseTime, report("hangs", "r", 2, 2), discard)
	_, _, second := b.Totals(baseTime)
	is.Equal(len(second), 0) // neither call has returned
	first[0](wire.LoadReport{})
	_, _, third := b.Totals(baseTime)
	is.Equal(len(third), 1)
}

// TestTrafficOfTotalsIsBounded checks that at any size, the entries sent to all gateways per second
// are bounded unless totals would become too old, and that a report does not expire before the next
// one.
func TestTrafficOfTotalsIsBounded(t *testing.T) {
	is := is.New(t)
	for _, size := range []struct{ gateways, replicas int }{{1, 1}, {7, 15}, {9, 21}, {62, 93}, {89, 145}, {340, 780}} {
		pause := RoundInterval(size.gateways, size.replicas)
		entries := int64(size.gateways*size.replicas) * int64(time.Second) / int64(pause)
		is.True(entries <= entriesPerSecond || pause == maxInterval)
		is.True(ReportInterval(size.gateways, size.replicas) >= pause)
		is.True(ReportInterval(size.gateways, size.replicas) < reportLifetime)
	}
	is.Equal(RoundInterval(7, 15), minInterval) // a small installation gets the newest totals
}
