// Package control implements the replicated state of an installation: the accepted configuration,
// planner authority and the claims on idempotency keys. State is the pure state machine, Node runs
// consensus, disk and network around it, and Service and Cluster answer RPCs.
//
// A change is settled once a majority of the disks hold not only its entry but also a commit index
// that covers it: restarted nodes then apply it without a leader.
//
//	rpc ──call──▶ Service ──propose──▶ Node ──Step/Propose──▶ raft.Core
//	                 ▲                  │  ▲                      │ Ready
//	                 │ result           │  └──── Persisted ◀── writer ◀── store.Save (sync)
//	                 └── State.Apply ◀──┘ committed           └─▶ peers (rpc)
//	                        │
//	                        └─ changed ─▶ one goroutine per subscriber ─▶ config.update
package control
