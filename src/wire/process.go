package wire

import (
	"time"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/raft"
)

// Empty is a message without content.
type Empty struct{}

// Status is what a process says of itself.
type Status struct {
	Node        string             `json:"node"`
	Role        string             `json:"role"`
	Zone        string             `json:"zone"`
	Version     string             `json:"version"`
	Now         time.Time          `json:"now"`
	Ready       bool               `json:"ready"`
	Leaving     bool               `json:"leaving,omitempty"`
	Revision    config.Revision    `json:"revision"`
	Control     ControlCost        `json:"control"`
	ControlNode *ControlNodeStatus `json:"controlNode,omitempty"`
	Planner     *PlannerStatus     `json:"planner,omitempty"`
	Entry       *GatewayStatus     `json:"entry,omitempty"`
}

// ControlNodeStatus is a control node's part of Status.
type ControlNodeStatus struct {
	ID       raft.ID      `json:"id"`
	Role     string       `json:"raftRole"`
	Term     uint64       `json:"term"`
	Leader   raft.ID      `json:"leader"`
	Commit   uint64       `json:"commit"`
	Last     uint64       `json:"last"`
	Members  raft.Members `json:"members"`
	CaughtUp bool         `json:"caughtUp"`
	Claims   int          `json:"claims"`
	Syncs    uint64       `json:"syncs"`
	// WriteMS is for how many milliseconds a write to the data folder has been under way, 0 if none is.
	WriteMS int64        `json:"writeMs,omitempty"`
	Nodes   []NodeStatus `json:"nodes,omitempty"`
}

// PlannerStatus is a planner's part of Status.
type PlannerStatus struct {
	Epoch     uint64 `json:"epoch"`
	Authority string `json:"authority"`
	Hosts     int    `json:"hosts"`
	Copies    int    `json:"copies"`
	Unplaced  int    `json:"unplaced"`
	InDoubt   int    `json:"inDoubt"`
	Loads     uint64 `json:"loads"`
	Unloads   uint64 `json:"unloads"`
}

// GatewayStatus is a gateway's part of Status.
type GatewayStatus struct {
	Requests  uint64 `json:"requests"`
	InFlight  int64  `json:"inFlight"`
	Refused   uint64 `json:"refused"`
	Retried   uint64 `json:"retried"`
	Resumed   uint64 `json:"resumed"`
	Hosts     int    `json:"hosts"`
	Reachable int    `json:"reachable"`
}

// EventsRequest asks for events after a number; with Wait it waits for the next one.
type EventsRequest struct {
	After uint64          `json:"after"`
	About string          `json:"about,omitempty"`
	Wait  config.Duration `json:"wait,omitempty"`
	// Newest starts at the end instead of at After.
	Newest bool `json:"newest,omitempty"`
}

// EventsReply carries events and the number to go on from.
type EventsReply struct {
	Last   uint64        `json:"last"`
	Events []event.Event `json:"events"`
}

// CutRequest sets the address prefixes that a process can't reach.
type CutRequest struct {
	Prefixes []string `json:"prefixes"`
}

// DrainRequest tells a planner to empty a host, or to take that back.
type DrainRequest struct {
	Host string `json:"host"`
	Undo bool   `json:"undo,omitempty"`
}
