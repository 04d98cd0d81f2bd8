package admission

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/catalog"
	"github.com/moorspool/moorspool/src/quota"
	"github.com/moorspool/moorspool/src/wire"
)

// trustTime is how long the test's gates trust a configuration.
const trustTime = 5 * time.Second

// errDisconnected is the error of calls over a broken connection.
var errDisconnected = errors.New("cut off")

// testCluster is a leader, a control node and a gateway on one virtual clock.
type testCluster struct {
	now     time.Time
	version uint64
	// hasMajority is unset while the leader reaches no majority.
	hasMajority bool
	// leaderReachable and nodeReachable are unset while calls fail.
	leaderReachable, nodeReachable bool
	// appliedVersion is what the control node has applied, majorityAt when a majority confirmed it.
	appliedVersion uint64
	majorityAt     time.Time
	// nodeDelay and leaderDelay are the delays of answers.
	nodeDelay, leaderDelay time.Duration
	// recordError is returned when an extension is recorded.
	recordError error
	// onSleep is called while a request waits.
	onSleep      func()
	account      catalog.Account
	leader, node *Granter
	gate         *Gate
}

func newTestCluster() *testCluster {
	n := &testCluster{now: time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC), version: 7, hasMajority: true, leaderReachable: true, nodeReachable: true}
	n.account = catalog.Account{Name: "a", Limit: catalog.Limit{Unit: catalog.Requests, Rate: 10, Burst: 10}}
	clock := func() time.Time { return n.now }
	terms := quota.NewParameters(8*time.Second, 0.1, 0)
	n.leader = NewGranter(GranterOptions{Node: "l", Parameters: terms, Now: clock,
		Leadership: func() Leadership {
			return Leadership{Self: n.hasMajority, Version: n.version, Term: 1, Members: []string{"l", "n"}}
		},
		Table: func() *catalog.Table {
			return catalog.NewTable(catalog.Document{KeysRequired: true, Accounts: []catalog.Account{n.account}})
		},
		Record: func(context.Context, string, float64) error { return n.recordError },
		Leader: Leader{Lease: func(_ context.Context, r wire.LeaseRequest) (wire.LeaseReply, error) { return n.leader.Lease(r), nil }},
	})
	n.node = NewGranter(GranterOptions{
		Node: "n", Parameters: terms, Now: clock, Leader: Leader{Lease: n.lease, Reserve: n.draw},
		Confirmed: func() (uint64, time.Time) { return n.appliedVersion, n.majorityAt },
	})
	n.gate = NewGate(GateOptions{Request: n.ask, Trust: trustTime, GrantTTL: terms.GrantTTL, Now: clock, Sleep: func(_ context.Context, d time.Duration) bool {
		n.now = n.now.Add(d)
		if n.onSleep != nil {
			n.onSleep()
		}
		return true
	}})
	return n
}

func (n *testCluster) lease(_ context.Context, r wire.LeaseRequest) (wire.LeaseReply, error) {
	if !n.leaderReachable {
		return wire.LeaseReply{}, errDisconnected
	}
	reply := n.leader.Lease(r)
	n.now = n.now.Add(n.leaderDelay)
	return reply, nil
}

func (n *testCluster) draw(_ context.Context, r wire.DrawRequest) (wire.DrawReply, error) {
	if !n.leaderReachable {
		return wire.DrawReply{}, errDisconnected
	}
	return n.leader.Reserve(context.Background(), r), nil
}

func (n *testCluster) ask(ctx context.Context, r wire.AdmitRequest) (wire.AdmitReply, error) {
	if !n.nodeReachable {
		return wire.AdmitReply{}, errDisconnected
	}
	reply := n.node.Admit(ctx, r)
	n.now = n.now.Add(n.nodeDelay)
	return reply, nil
}

// run advances the time in steps; in each step the nodes report and the gate confirms.
func (n *testCluster) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(100 * time.Millisecond)
		_ = n.leader.report(context.Background())
		_ = n.node.report(context.Background())
		n.gate.Confirm(context.Background())
	}
}

func (n *testCluster) trusted() bool { return n.gate.Confirmed(n.now, n.version) }

func TestAGateTrustsAConfirmedVersion(t *testing.T) {
	is := is.New(t)
	n := newTestCluster()
	is.True(!n.trusted())
	n.run(time.Second)
	is.True(n.trusted())
	is.True(!n.gate.Confirmed(n.now, 6)) // the gateway still uses an older version
	is.True(n.gate.Confirmed(n.now, 8))  // a version that the gateway learned from a faster node is newer
}

// Trust ends when gateway and control node, control node and leader, or leader and majority are
// disconnected.
func TestTrustEndsWhereverTheChainIsCut(t *testing.T) {
	for name, disconnect := range map[string]func(*testCluster){
		"gateway from its control node":     func(n *testCluster) { n.nodeReachable = false },
		"control node from the leader":      func(n *testCluster) { n.leaderReachable = false },
		"leader from the majority":          func(n *testCluster) { n.hasMajority = false },
		"control node's answers never come": func(n *testCluster) { n.nodeDelay = trustTime },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newTestCluster()
			n.run(time.Second)
			disconnect(n)
			n.run(trustTime - time.Second)
			if name != "control node's answers never come" {
				is.True(n.trusted()) // requests are served for a while
			}
			n.run(2 * time.Second)
			is.True(!n.trusted())
		})
	}
}

// A suspended gateway or control node must not treat what it knew before, or what was sent to it
// meanwhile, as recent.
func TestAProcessThatWasFrozenTrustsNothing(t *testing.T) {
	is := is.New(t)
	n := newTestCluster()
	n.run(time.Second)
	n.now = n.now.Add(trustTime) // all processes are suspended
	is.True(!n.trusted())
	n.leaderReachable = false
	is.True(n.gate.Confirm(context.Background())) // the control node answers with the age of its confirmation
	is.True(!n.trusted())
	n.leaderReachable, n.leaderDelay = true, trustTime // the leader's answer was delayed by all of this time
	_ = n.node.report(context.Background())
	is.True(n.gate.Confirm(context.Background()))
	is.True(!n.trusted())
}

func TestARevokedVersionIsNotTrustedForLong(t *testing.T) {
	is := is.New(t)
	n := newTestCluster()
	n.run(time.Second)
	old := n.version
	n.version++
	n.run(time.Second)
	is.True(n.gate.Confirmed(n.now, old)) // for the rest of its trust time
	n.run(trustTime)
	is.True(!n.gate.Confirmed(n.now, old))
	is.True(n.gate.Confirmed(n.now, n.version))
}

// An account gets its limit at once, once the leader has led for a window.
func TestAnAccountGetsItsLimitAndNoMore(t *testing.T) {
	is := is.New(t)
	n := newTestCluster()
	n.run(10 * time.Second)
	granted := 0
	for range 200 {
		if n.gate.Admit(context.Background(), &n.account, 1).Admission == wire.AdmissionGranted {
			granted++
		}
	}
	is.True(granted >= 85)
	is.True(granted <= 90) // 8 s at 10 a second and a burst of 10
	verdict := n.gate.Admit(context.Background(), &n.account, 1)
	is.Equal(verdict.Admission, wire.QuotaExhausted)
	is.True(verdict.RetryAfter > 0)
}

// A leader without a majority can't record an extension and must not grant it.
func TestAnUnrecordedExtensionIsNotGranted(t *testing.T) {
	is := is.New(t)
	n := newTestCluster()
	n.run(10 * time.Second)
	n.recordError = errDisconnected
	began, granted := n.now, 0
	for range 50 {
		if n.gate.Admit(context.Background(), &n.account, 1).Admission == wire.AdmissionGranted {
			granted++
		}
	}
	is.True(float64(granted) <= 11+10*n.now.Sub(began).Seconds()) // the burst and the rate since
}

func TestReturnedUnitsCanBeUsedAgain(t *testing.T) {
	is := is.New(t)
	n := newTestCluster()
	n.run(time.Second)
	verdict := n.gate.Admit(context.Background(), &n.account, 1)
	is.Equal(verdict.Admission, wire.AdmissionGranted)
	n.gate.Return("a", 1, verdict.Until)
	n.nodeReachable = false
	is.Equal(n.gate.Admit(context.Background(), &n.account, 1).Admission, wire.AdmissionGranted)
	is.Equal(n.gate.Admit(context.Background(), &n.account, 1).Admission, wire.AdmissionUnknown)
}

func TestAGateBacksOffAfterAnUnansweredCall(t *testing.T) {
	is := is.New(t)
	n := newTestCluster()
	n.run(time.Second)
	n.nodeReachable = false
	is.Equal(n.gate.Admit(context.Background(), &n.account, 1).Admission, wire.AdmissionUnknown)
	n.nodeReachable = true
	n.gate.unreachableUntil = n.now.Add(unreachableBackoff)
	is.Equal(n.gate.Admit(context.Background(), &n.account, 1).Admission, wire.AdmissionUnknown)
	n.now = n.now.Add(unreachableBackoff)
	is.Equal(n.gate.Admit(context.Background(), &n.account, 1).Admission, wire.AdmissionGranted)
}

// The shares leased to the zone's control node last for a while.
func TestADisconnectedZoneUsesItsShare(t *testing.T) {
	is := is.New(t)
	n := newTestCluster()
	n.account.Limit = catalog.Limit{Unit: catalog.Requests, Rate: 100, Burst: 100}
	for range 40 {
		n.run(100 * time.Millisecond)
		for range 4 {
			n.gate.Admit(context.Background(), &n.account, 1)
		}
	}
	n.leaderReachable = false
	granted := 0
	for range 20 {
		n.now = n.now.Add(100 * time.Millisecond)
		for range 4 {
			if n.gate.Admit(context.Background(), &n.account, 1).Admission == wire.AdmissionGranted {
				granted++
			}
		}
	}
	is.True(granted >= 60) // most of 80
	n.now = n.now.Add(time.Second)
	is.Equal(n.gate.Admit(context.Background(), &n.account, 1).Admission, wire.AdmissionUnknown)
}

// The first requests wait for as long as an election takes. Later ones are refused at once, with a
// retry time that grows with the outage.
func TestARequestWaitsForAnElectionAndNotForAnOutage(t *testing.T) {
	is := is.New(t)
	n := newTestCluster()
	n.run(time.Second)
	n.leaderReachable = false
	n.node.holder = quota.NewHolder("n", 2, n.node.options.Parameters) // it has no share
	began := n.now
	n.onSleep = func() { n.leaderReachable = n.now.Sub(began) > electionWait/2 }
	is.Equal(n.gate.Admit(context.Background(), &n.account, 1).Admission, wire.AdmissionGranted)
	is.True(n.now.Sub(began) < electionWait)

	n.leaderReachable, n.onSleep = false, nil
	began = n.now
	first := n.gate.Admit(context.Background(), &n.account, 1)
	is.Equal(first.Admission, wire.AdmissionUnknown)
	is.True(n.now.Sub(began) < electionWait+unreachableBackoff)
	n.now = n.now.Add(10 * time.Second)
	began = n.now
	later := n.gate.Admit(context.Background(), &n.account, 1)
	is.Equal(later.Admission, wire.AdmissionUnknown)
	is.Equal(n.now, began)
	is.True(later.RetryAfter > first.RetryAfter)
}

// After a loss of all power requests with a key were refused until a leader had been elected, which takes as
// long as several syncs: 11 s with syncs of 3 s. A majority that has nothing newer confirms the keys as
// well; a control node that lags, or that reaches no majority, confirms none.
func TestKeysAreTrustedWithoutALeader(t *testing.T) {
	is := is.New(t)
	n := newTestCluster()
	n.leaderReachable = false
	n.appliedVersion = 6
	n.run(time.Second)
	is.True(!n.gate.Confirmed(n.now, 6))

	n.appliedVersion, n.majorityAt = 7, n.now
	n.run(time.Second)
	is.True(n.trusted())
	is.True(!n.gate.Confirmed(n.now, 6))
	n.run(trustTime) // the majority is out of reach since
	is.True(!n.trusted())
}

// What a client account has left is only known to a leader and to who holds a share of the limit.
func TestLimitsAreNotGrantedWithoutALeader(t *testing.T) {
	is := is.New(t)
	n := newTestCluster()
	n.leaderReachable = false
	n.appliedVersion, n.majorityAt = 7, n.now
	n.run(time.Second)
	is.Equal(n.gate.Admit(context.Background(), &n.account, 1).Admission, wire.AdmissionUnknown)
}

// A newer version that the node has applied must not inherit an old confirmation of a majority: it would
// count as old until the leader confirms it, and requests with a key would wait.
func TestOldMajorityConfirmationDoesNotReplaceALaterOne(t *testing.T) {
	is := is.New(t)
	n := newTestCluster()
	n.appliedVersion, n.majorityAt = 7, n.now
	n.run(2 * trustTime)
	n.appliedVersion = 8
	n.gate.Confirm(context.Background())
	is.True(n.gate.Confirmed(n.now, 8))
}

// What a gate keeps of an account stayed until the account's next request, and for ever when the account was
// removed from the configuration.
func TestStateOfRemovedAccountsIsDropped(t *testing.T) {
	is := is.New(t)
	n := newTestCluster()
	n.run(time.Second)
	for i := range 100_000 {
		account := fmt.Sprint("account ", i)
		n.gate.grants.Put(n.now, account, 1, n.now.Add(time.Second))
		n.gate.grants.SetExhausted(account, n.now.Add(time.Second), time.Second)
		n.gate.noteUnsure(n.now, account)
	}
	is.Equal(n.gate.grants.Accounts(), 200_000)
	n.gate.sweep(n.now.Add(time.Second))
	is.Equal(n.gate.grants.Accounts(), 0)
	is.Equal(len(n.gate.unsure), 100_000) // clients that return are told to wait longer
	n.gate.sweep(n.now.Add(unsureRetention + time.Millisecond))
	is.Equal(len(n.gate.unsure), 0)
}

// While an account's requests can't be admitted, those that wait at a gateway call a control node
// together a few times a second. Each of them called for itself before, each 30 ms, and the calls of all
// gateways kept the control nodes from answering any.
func TestWaitingRequestsOfAnAccountCallTogether(t *testing.T) {
	is := is.New(t)
	n := newTestCluster()
	n.run(time.Second)
	n.leaderReachable = false
	n.node.holder = quota.NewHolder("n", 2, n.node.options.Parameters) // it has no share
	calls := 0
	ask := n.gate.options.Request
	n.gate.options.Request = func(ctx context.Context, r wire.AdmitRequest) (wire.AdmitReply, error) {
		calls++
		return ask(ctx, r)
	}
	for range 100 {
		n.now = n.now.Add(10 * time.Millisecond)
		for range 200 {
			is.Equal(n.gate.admitOnce(context.Background(), &n.account, 1).Admission, wire.AdmissionUnknown)
		}
	}
	is.True(calls <= 10) // 20,000 attempts in a second
	n.leaderReachable = true
	n.now = n.now.Add(maxAskInterval)
	is.Equal(n.gate.admitOnce(context.Background(), &n.account, 1).Admission, wire.AdmissionGranted)
	is.Equal(n.gate.admitOnce(context.Background(), &n.account, 1).Admission, wire.AdmissionGranted)
}

// Units that a gateway gives back are granted again by the control node; they counted as used for a whole
// window before.
func TestUnitsThatAreGivenBackAreGrantedAgain(t *testing.T) {
	is := is.New(t)
	n := newTestCluster()
	n.gate.options.GiveBack = func(account string, units float64) {
		n.node.GiveBack(wire.AdmitReturn{Units: []wire.ReturnedUnits{{Account: account, Units: units}, {}, {Account: "a", Units: -1}}})
	}
	n.run(9 * time.Second) // until what an earlier leader may have granted has left the window
	granted := 0
	for range 400 {
		for range 3 {
			verdict := n.gate.Admit(context.Background(), &n.account, 1)
			if verdict.Admission == wire.AdmissionGranted {
				granted++
				n.gate.Return("a", 1, verdict.Until)
			}
		}
		n.run(50 * time.Millisecond)
	}
	is.Equal(granted, 1200) // in 40 s, with a limit of 10 in a second
	is.Equal(n.gate.grants.Accounts(), 0)
}

// An account whose record takes long does not hold up the others.
func TestAccountsRecordExtensionsBesideEachOther(t *testing.T) {
	is := is.New(t)
	granter := NewGranter(GranterOptions{Now: time.Now})
	unlock := granter.lockRecord("a")
	granter.lockRecord("b")() // would wait for ever with one lock for all
	unlock()
	granter.lockRecord("a")()
	is.Equal(len(granter.recordMu), 2)
}

// TestGrantThatWaitedIsNotUsed: a grant whose answer waited for a process that stood still counts from its question.
func TestGrantThatWaitedIsNotUsed(t *testing.T) {
	is := is.New(t)
	n := newTestCluster()
	n.run(time.Second)
	asked := n.now
	n.nodeDelay = n.gate.options.GrantTTL
	verdict := n.gate.Admit(context.Background(), &n.account, 1)
	is.Equal(verdict.Admission, wire.AdmissionGranted)
	is.Equal(verdict.Until, asked.Add(n.gate.options.GrantTTL))
	is.True(!n.now.Before(verdict.Until))
}
