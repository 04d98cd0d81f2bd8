package wire

import (
	"time"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/event"
	"github.com/moorspool/moorspool/src/raft"
)

// Empty is a message without fields.
type Empty struct{}

// Status is the status of a process.
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

// ControlNodeStatus is the part of Status specific to control nodes.
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
	// WriteMS is how long the current write to the data folder has been in flight, in milliseconds, or 0 if
	// there is none.
	WriteMS int64        `json:"writeMs,omitempty"`
	Nodes   []NodeStatus `json:"nodes,omitempty"`
}

// PlannerStatus is the part of Status specific to planners.
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

// GatewayStatus is the part of Status specific to gateways.
type GatewayStatus struct {
	Requests  uint64 `json:"requests"`
	InFlight  int64  `json:"inFlight"`
	Refused   uint64 `json:"refused"`
	Retried   uint64 `json:"retried"`
	Resumed   uint64 `json:"resumed"`
	Hosts     int    `json:"hosts"`
	Reachable int    `json:"reachable"`
}

// EventsRequest requests the events after a number. With Wait it waits up to that long for one.
type EventsRequest struct {
	After uint64          `json:"after"`
	About string          `json:"about,omitempty"`
	Wait  config.Duration `json:"wait,omitempty"`
	// Newest starts after the latest event instead of at After.
	Newest bool `json:"newest,omitempty"`
}

// EventsReply contains events and the number to continue from.
type EventsReply struct {
	Last   uint64        `json:"last"`
	Events []event.Event `json:"events"`
}

// CutRequest sets the address prefixes a process cannot reach, to simulate a network partition.
type CutRequest struct {
	Prefixes []string `json:"prefixes"`
}

// DrainRequest asks a planner to drain a host, or to undo that.
type DrainRequest struct {
	Host string `json:"host"`
	Undo bool   `json:"undo,omitempty"`
}
