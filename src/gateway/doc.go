// Package gateway is the gateway process. It accepts client requests, selects a host for each,
// queues and retries requests, and relays responses; a stream that breaks is resumed on another host.
//
//	client ──HTTP──▶ Server ─▶ admit (limit.Queues) ─▶ pick (route.Table) ─▶ relay
//	                                                                       │
//	                   engine.StreamClient / service.Client ◀── attempt ───┤
//	                             │ broken, refused as not run              │
//	                             └───── resume or retry on another host ───┘
//	planners ──routes──▶ Routes ──▶ route.Table        Routes ──demand──▶ planners
//	control nodes ──config──▶ follow.Follower                once claims ──▶ control nodes
package gateway
