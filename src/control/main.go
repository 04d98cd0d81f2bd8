package control

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/clock"
	"github.com/moorspool/moorspool/src/option"
	"github.com/moorspool/moorspool/src/process"
	"github.com/moorspool/moorspool/src/raft"
	"github.com/moorspool/moorspool/src/store"
	"github.com/moorspool/moorspool/src/wire"
)

// leaderTransferWait is how long a stopping leader waits for another node to take over.
const leaderTransferWait = 500 * time.Millisecond

// Main runs moorspool-control and returns its exit code.
func Main(arguments []string) int {
	return process.Main(arguments, process.Program{
		Name: "moorspool-control",
		Load: func(flags option.Flags) (func() error, error) {
			settings, err := option.LoadControlNode(flags.Settings)
			return func() error { return run(settings, flags.Found) }, err
		},
		Command: folderCommand,
	})
}

// folderCommand runs the inspect, backup and restore commands on a data folder.
func folderCommand(arguments []string) error {
	switch {
	case arguments[0] == "inspect" && len(arguments) == 2:
		return inspect(arguments[1])
	case arguments[0] == "backup" && len(arguments) == 3:
		return store.Backup(arguments[1], arguments[2])
	case arguments[0] == "restore" && len(arguments) == 3:
		return store.Restore(arguments[1], arguments[2])
	}
	return errors.New("use inspect FOLDER, backup FOLDER FILE or restore FILE FOLDER")
}

// inspection is the output of the inspect command.
type inspection struct {
	Identity store.Identity `json:"identity"`
	State    raft.HardState `json:"hardState"`
	Snapshot uint64         `json:"snapshotIndex"`
	Last     uint64         `json:"lastIndex"`
	Members  raft.Members   `json:"members"`
	Objects  int            `json:"objects"`
	Claims   int            `json:"claims"`
}

func inspect(folder string) error {
	identity, start, err := store.Read(folder)
	if err != nil {
		return err
	}
	state, err := RestoreState(start.Snapshot.Data)
	if err != nil {
		return err
	}
	report := inspection{Identity: identity, State: start.HardState, Snapshot: start.Snapshot.Index, Last: start.LastIndex(), Members: start.Members()}
	for _, entry := range start.Entries {
		state.Apply(entry)
	}
	report.Objects = state.Set().Len()
	report.Claims = state.Claims()
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// run runs a control node until it is stopped or fails. found is set if an empty data folder may
// found a new installation.
func run(settings option.ControlNode, found bool) error {
	ctx, cancel := process.SignalContext()
	defer cancel()
	var service *Service
	proc, err := process.New("control", settings.Common, func(status *wire.Status) {
		status.ControlNode = service.Status()
		status.Revision = service.Revision()
	})
	if err != nil {
		return err
	}
	folder, start, err := store.Open(store.Options{Path: settings.Folder, Cluster: settings.Cluster, Name: settings.Node, Founder: found})
	if err != nil {
		return err
	}
	defer folder.Close()
	fresh := start.HardState == raft.HardState{} && start.LastIndex() == 0
	found = found && fresh
	if start.Snapshot.Index == 0 && folder.Identity().Incarnation == store.FounderIncarnation {
		start.Snapshot.Members = founders(settings.ControlNodes)
	}
	disk := Disk{Save: folder.Save, SaveSnapshot: folder.SaveSnapshot}
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), uint64(os.Getpid())))
	replica, err := NewReplica(folder.Identity().ID(), start, disk, raft.DefaultOptions(), random, proc.Ring(), clock.Now())
	if err != nil {
		return err
	}
	var send func(raft.Message)
	node := NewNode(replica, func(m raft.Message) { send(m) }, proc.Ring(), clock.Now)
	service = NewService(node, peerAddresses(settings), proc.Ring(), proc.Meter(), proc.Cut(), clock.Now)
	send = service.Send()
	if err := checkDisk(ctx, service, settings, folder, start, found); err != nil {
		return err
	}
	service.Register(proc.Mux())
	if err := proc.Serve(); err != nil {
		return err
	}
	defer proc.Close()
	return serve(ctx, proc, node, service)
}

func checkDisk(ctx context.Context, service *Service, settings option.ControlNode, folder *store.Folder, start raft.InitialState, found bool) error {
	ctx, cancel := context.WithTimeout(ctx, settings.DiskCheck.Std())
	defer cancel()
	return service.CheckDisk(ctx, folder.Identity().ID(), start.LastIndex(), found)
}

// serve runs the node and the service until a signal arrives or the disk fails.
func serve(ctx context.Context, proc *process.Process, node *Node, service *Service) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- node.Run(inner) }()
	go service.MaintainMembership(inner)
	proc.SetReady(true)
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	proc.SetLeaving()
	service.TransferLeadership()
	time.Sleep(leaderTransferWait)
	stop()
	return <-ended
}

func founders(controlNodes []option.Peer) raft.Members {
	var members raft.Members
	for _, controlNode := range controlNodes {
		identity := store.Identity{Name: controlNode.Name, Incarnation: store.FounderIncarnation}
		members.Voters = append(members.Voters, identity.ID())
	}
	return members
}

func peerAddresses(settings option.ControlNode) map[string]string {
	addresses := map[string]string{}
	for _, controlNode := range settings.ControlNodes {
		if controlNode.Name != settings.Node {
			addresses[controlNode.Name] = controlNode.Address
		}
	}
	return addresses
}
