package emulator

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/option"
	"github.com/moorspool/moorspool/src/place"
	"github.com/moorspool/moorspool/src/route"
)

// Ports and address parts of a demo installation. The third octet of an address is the availability
// zone, so that a network cut can select a zone by address prefix.
const (
	controlPort  = 7100
	adminPort    = 7101
	clientsPort  = 8080
	emulatorPort = 9000

	firstGatewayNumber = 10
	controlNodeNumber  = 20
	plannerNumber      = 30
	firstEngineNumber  = 100
	firstServiceNumber = 200
	externalZoneNumber = 99
)

const gatewaysPerZone = 2

// Short times, so that a planned stop in the demo ends soon.
const (
	demoBalancerLag = 1200 * time.Millisecond
	demoDrainLimit  = 30 * time.Second
)

// Profile holds what differs between the demo installations.
type Profile struct {
	name        string
	secondOctet int
	rate        float64
}

// Profiles are the demo installations.
var Profiles = []Profile{
	{name: "kilima", secondOctet: 0, rate: 60},
	{name: "nguyen-gia", secondOctet: 1, rate: 90},
}

// Install writes the settings of every process of a profile's installation.
type Install struct {
	profile    Profile
	folder     string
	set        *config.Set
	zones      []string
	gateways   []GatewayAddress
	hosts      []ListedHost
	warmCopies map[string][]WarmCopy
	routing    route.Mode
}

// NewInstall reads the configuration for a profile.
func NewInstall(name, examples, folder string, routing route.Mode) (*Install, error) {
	sources, err := config.ReadFolder(examples)
	if err != nil {
		return nil, err
	}
	if findings := config.CheckSources(sources); len(findings) > 0 {
		return nil, findings
	}
	var objects []config.Object
	for _, source := range sources {
		objects = append(objects, source.Object())
	}
	set := config.NewSet(config.Revision{Index: 1}, objects)
	assign, _ := place.Assign(set)
	for _, profile := range Profiles {
		if profile.name == name {
			i := &Install{profile: profile, folder: folder, set: set.WithChanges(assign, nil), warmCopies: map[string][]WarmCopy{}, routing: routing}
			i.findZones()
			return i, nil
		}
	}
	return nil, errors.Errorf("there is no profile %q", name)
}

func (i *Install) findZones() {
	seen := map[string]bool{}
	for _, object := range i.set.OfKind(config.KindPool) {
		for _, zone := range object.Pool.Zones {
			if !seen[zone.Zone] {
				seen[zone.Zone] = true
				i.zones = append(i.zones, zone.Zone)
			}
		}
	}
	sort.Strings(i.zones)
}

func (i *Install) address(zone, number, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", i.profile.secondOctet, zone, number, port)
}

func (i *Install) write(name string, settings any) error {
	text, err := yaml.Marshal(settings)
	if err != nil {
		return errors.Wrap(err, "encoding settings")
	}
	if err := os.MkdirAll(i.folder, 0o755); err != nil {
		return errors.Wrap(err, "making the settings' folder")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(i.folder, name+".yaml"), text, 0o644), "writing settings")
}

// Write writes the settings files of all processes.
func (i *Install) Write() error {
	for _, step := range []func() error{i.writeEmulators, i.writeControlNodes, i.writePlanners, i.writeGateways, i.writeExternal, i.writeLoad} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (i *Install) storeAddress() string    { return i.address(externalZoneNumber, 1, emulatorPort) }
func (i *Install) platformAddress() string { return i.address(externalZoneNumber, 2, emulatorPort) }

func (i *Install) commonSettings(node, zone string, number, host int) option.Common {
	return option.Common{
		Cluster: i.profile.name,
		Node:    node,
		Zone:    zone,
		Control: i.address(number, host, controlPort),
		Admin:   i.address(number, host, adminPort),
		Log:     option.LogSetting{Level: "info"},
		Trace:   option.Trace{Share: 1},
		Events:  option.DefaultEvents,
		Faults:  true,
	}
}

func (i *Install) controlNodes() []option.Peer {
	var peers []option.Peer
	for n, zone := range i.zones {
		peers = append(peers, option.Peer{Name: "control-" + zone, Address: i.address(n+1, controlNodeNumber, controlPort), Zone: zone})
	}
	return peers
}

func (i *Install) writeControlNodes() error {
	for n, zone := range i.zones {
		settings := option.ControlNode{
			Common:       i.commonSettings("control-"+zone, zone, n+1, controlNodeNumber),
			Folder:       filepath.Join(i.folder, "data", "control-"+zone),
			ControlNodes: i.controlNodes(),
			DiskCheck:    config.Duration(option.DefaultDiskCheck),
		}
		if err := i.write("control-"+zone, settings); err != nil {
			return err
		}
	}
	return nil
}

func (i *Install) writePlanners() error {
	for n, zone := range i.zones {
		settings := option.Planner{
			Common:       i.commonSettings("planner-"+zone, zone, n+1, plannerNumber),
			ControlNodes: i.controlNodes(),
			Platform:     i.platformAddress(),
			ConfigWait:   config.Duration(option.DefaultConfigWait),
			StoreShare:   1 / float64(len(i.zones)),
		}
		if err := i.write("planner-"+zone, settings); err != nil {
			return err
		}
	}
	return nil
}

func (i *Install) writeGateways() error {
	for n, zone := range i.zones {
		for e := 0; e < gatewaysPerZone; e++ {
			node := fmt.Sprintf("gateway-%s-%d", zone, e+1)
			settings := option.Gateway{
				Common:       i.commonSettings(node, zone, n+1, firstGatewayNumber+e),
				Clients:      i.address(n+1, firstGatewayNumber+e, clientsPort),
				ControlNodes: i.controlNodes(),
				BalancerLag:  config.Duration(demoBalancerLag),
				DrainLimit:   config.Duration(demoDrainLimit),
				ConfigWait:   config.Duration(option.DefaultConfigWait),
				Routing:      i.routing,
				Limits: option.Limits{
					Body:       option.DefaultBody,
					Queue:      option.DefaultQueue,
					QueueWait:  config.Duration(option.DefaultQueueWait),
					RetryShare: option.DefaultRetryShare,
					Attempts:   option.DefaultAttempts,
					HeaderWait: config.Duration(option.DefaultHeaderWait),
					TokenWait:  config.Duration(2 * time.Second),
				},
			}
			i.gateways = append(i.gateways, GatewayAddress{Clients: settings.Clients, Admin: settings.Admin})
			if err := i.write(node, settings); err != nil {
				return err
			}
		}
	}
	return nil
}

// writeEmulators writes the settings of the backend servers: plain services for the pools that a
// service names, engines for all others.
func (i *Install) writeEmulators() error {
	i.planWarmCopies()
	engines, services := map[int]int{}, map[int]int{}
	for _, object := range i.set.OfKind(config.KindPool) {
		for _, zone := range object.Pool.Zones {
			n := i.zoneNumber(zone.Zone)
			for replica := 1; replica <= zone.Replicas; replica++ {
				name := hostName(object.Key.Name, zone.Zone, replica)
				if err := i.writeEmulator(object, name, zone.Zone, n, engines, services); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (i *Install) zoneNumber(zone string) int {
	for n, name := range i.zones {
		if name == zone {
			return n + 1
		}
	}
	return 0
}

func (i *Install) writeEmulator(pool config.Object, name, zone string, n int, engines, services map[int]int) error {
	settings := Settings{Host: name}
	if i.set.Service(pool.Key.Name) != nil {
		settings.Kind = KindService
		settings.Listen = i.address(n, firstServiceNumber+services[n], emulatorPort)
		settings.Work = config.Duration(emulatorWork)
		services[n]++
	} else {
		settings.Kind = KindEngine
		settings.Listen = i.address(n, firstEngineNumber+engines[n], emulatorPort)
		settings.Accelerators = pool.Pool.Accelerators
		settings.Memory = pool.Pool.Memory - pool.Pool.Overhead
		settings.Slots = emulatorSlots
		settings.Prefill = config.Duration(emulatorPrefill)
		settings.Gap = config.Duration(emulatorGap)
		settings.Checks = pool.Pool.ChecksOrders
		settings.Store = i.storeAddress()
		settings.Warm = i.warmCopies[name]
		engines[n]++
	}
	i.hosts = append(i.hosts, ListedHost{Name: name, Pool: pool.Key.Name, Zone: zone, Address: settings.Listen})
	return i.write("emulator-"+name, settings)
}

// planWarmCopies assigns each zone one ready copy of every model that is assigned to it, as if the
// installation had been running for a while: loading all models from the weight store would take
// longer than the demo.
func (i *Install) planWarmCopies() {
	for _, zone := range i.zones {
		in := place.Input{SpareCopies: true, Weigh: config.WeighMoves, MaxLoads: len(i.set.ModelNames())}
		for _, object := range i.set.OfKind(config.KindPool) {
			if i.set.Service(object.Key.Name) == nil {
				in.Accelerators = append(in.Accelerators, zoneAccelerators(object, zone)...)
			}
		}
		for _, model := range i.set.ModelNames() {
			if slices.Contains(i.set.AssignedZones(model), zone) {
				in.Models = append(in.Models, place.Model{Name: model, Footprint: i.set.Footprint(model)})
			}
		}
		in.MaxLoads = len(in.Models)
		for _, step := range place.Plan(in).Steps {
			i.addWarmCopies(in.Accelerators[step.Accelerator], step.Model)
		}
	}
}

func zoneAccelerators(pool config.Object, zone string) []place.Accelerator {
	var all []place.Accelerator
	for _, part := range pool.Pool.Zones {
		if part.Zone != zone {
			continue
		}
		for replica := 1; replica <= part.Replicas; replica++ {
			for index := 0; index < pool.Pool.Accelerators; index++ {
				all = append(all, place.Accelerator{
					Host:      hostName(pool.Key.Name, zone, replica),
					Index:     index,
					Free:      pool.Pool.Memory - pool.Pool.Overhead,
					Available: true,
					Slots:     emulatorSlots,
				})
			}
		}
	}
	return all
}

func (i *Install) addWarmCopies(at place.Accelerator, name string) {
	model := i.set.Model(name)
	i.warmCopies[at.Host] = append(i.warmCopies[at.Host], WarmCopy{Model: name, Version: model.Version, Accelerator: at.Index, Bytes: model.Memory + model.KVFloor})
	for _, adapter := range i.set.AdapterNames(name) {
		i.warmCopies[at.Host] = append(i.warmCopies[at.Host], WarmCopy{Model: name, Adapter: adapter, Version: model.Version, Accelerator: at.Index, Bytes: i.set.Adapter(adapter).Memory})
	}
}

func (i *Install) writeExternal() error {
	policy := i.set.Policy()
	store := Settings{
		Kind:           KindStore,
		Listen:         i.storeAddress(),
		LoadsPerSecond: policy.Store.LoadsPerSecond,
		FullSpeed:      policy.Store.FullSpeed,
		Bandwidth:      emulatorBandwidth,
	}
	if err := i.write("outside-store", store); err != nil {
		return err
	}
	list := Settings{Kind: KindPlatform, Listen: i.platformAddress(), Lag: config.Duration(platformLag), Hosts: i.hosts}
	return i.write("outside-platform", list)
}

func (i *Install) writeLoad() error {
	e := Experiment{
		Seed:       7,
		Duration:   config.Duration(45 * time.Second),
		Rate:       i.profile.rate,
		Bursts:     Bursts{Every: config.Duration(9 * time.Second), Length: config.Duration(2 * time.Second), Factor: 3},
		Tokens:     defaultTokens,
		Unstreamed: 0.2,
		Skew:       1,
		Tries:      defaultTries,
		Target:     config.Target{FirstToken: config.Duration(420 * time.Millisecond), BetweenTokens: config.Duration(75 * time.Millisecond)},
		Gateways:   i.gateways,
	}
	for _, object := range i.set.OfKind(config.KindService) {
		e.Service = ServiceLoad{Name: object.Key.Name, Lookup: 0.15, Register: 0.05}
	}
	for _, object := range i.set.OfKind(config.KindPool) {
		for _, zone := range object.Pool.Zones {
			if i.set.Service(object.Key.Name) == nil {
				e.Accelerators += zone.Replicas * object.Pool.Accelerators
			}
		}
	}
	for _, host := range i.hosts {
		e.Emulators = append(e.Emulators, host.Address)
	}
	return i.write("load", e)
}
