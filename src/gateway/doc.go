// Package gateway is the product's own gateway: it takes clients' requests, routes them,
// queues and retries them, and relays answers whole.
//
//	client ──HTTP──▶ Server ─▶ admit (limit.Queues) ─▶ pick (route.Table) ─▶ relay
//	                                                                       │
//	                   engine.Streams / service.Client ◀── attempt ────────┤
//	                             │ broken, refused as not run              │
//	                             └──────── resume or retry elsewhere ──────┘
//	planners ──routes──▶ Routes ──▶ route.Table        Routes ──demand──▶ planners
//	control nodes ──config──▶ follow.Follower                once claims ──▶ control nodes
package gateway
