// Package control is the replicated state of an installation: accepted
// configuration, planner authority and once claims. State is the pure state
// machine, Node drives consensus, disk and network around it, and Service
// answers the control protocol.
//
//	rpc ──call──▶ Service ──propose──▶ Node ──Step/Propose──▶ raft.Core
//	                 ▲                  │  ▲                      │ Ready
//	                 │ result           │  └──── Persisted ◀── writer ◀── store.Save (sync)
//	                 └── State.Apply ◀──┘ committed           └─▶ peers (rpc)
//	                        │
//	                        └─ changed ─▶ one goroutine per subscriber ─▶ config.update
package control
