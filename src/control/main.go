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

// handOverWait is how long a stopping leader waits for its successor.
const handOverWait = 500 * time.Millisecond

// Main runs moorspool-control and returns its exit code.
func Main(arguments []string) int {
	return process.Main(arguments, process.Program{
		Name: "moorspool-control",
		Load: func(flags option.Flags) (func() error, error) {
			settings, err := option.LoadControlNode(flags.Settings)
			return func() error { return run(settings, flags.Found) }, err
		},
		Words: folderCommand,
	})
}

// folderCommand runs inspect, backup and restore on a data folder.
func folderCommand(words []string) error {
	switch {
	case words[0] == "inspect" && len(words) == 2:
		return inspect(words[1])
	case words[0] == "backup" && len(words) == 3:
		return store.Backup(words[1], words[2])
	case words[0] == "restore" && len(words) == 3:
		return store.Restore(words[1], words[2])
	}
	return errors.New("use inspect FOLDER, backup FOLDER FILE or restore FILE FOLDER")
}

// inspection is what inspect prints.
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
	found := inspection{Identity: identity, State: start.HardState, Snapshot: start.Snapshot.Index, Last: start.LastIndex(), Members: start.Members()}
	for _, entry := range start.Entries {
		state.Apply(entry)
	}
	found.Objects = state.Set().Len()
	found.Claims = state.Claims()
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(found)
}

// run is a control node's life from its settings to its stop.
func run(settings option.ControlNode, found bool) error {
	ctx, cancel := process.UntilSignal()
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

func checkDisk(ctx context.Context, service *Service, settings option.ControlNode, folder *store.Folder, start raft.Start, found bool) error {
	ctx, cancel := context.WithTimeout(ctx, settings.DiskCheck.Std())
	defer cancel()
	return service.CheckDisk(ctx, folder.Identity().ID(), start.LastIndex(), found)
}

// serve runs node and service until a signal, or until the disk fails.
func serve(ctx context.Context, proc *process.Process, node *Node, service *Service) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- node.Run(inner) }()
	go service.Tend(inner)
	proc.SetReady(true)
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	proc.SetLeaving()
	service.HandOver()
	time.Sleep(handOverWait)
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
