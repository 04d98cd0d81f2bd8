package option

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/moorspool/moorspool/src/config"
)

// Seeded is what the servers need that find each other from seeds.
type Seeded struct {
	// Node names this process, Zone is the availability zone it stands in.
	Node string `yaml:"node"`
	Zone string `yaml:"zone"`
	// Address is the IP number of this host.
	Address string `yaml:"address"`
	// Listen is the IP number to listen at where others reach this host by another
	// one, as behind a forwarder; left out, it is Address.
	Listen string `yaml:"listen"`
	// PeerPort is where the system's processes talk with each other, alike on all hosts.
	PeerPort int `yaml:"peerPort"`
	// AdminPort is where metrics, status and events are read.
	AdminPort int `yaml:"adminPort"`
	// Zones are the availability zones of the installation with the region of each; left out,
	// nothing is known of regions, and orders about any zone are taken.
	Zones map[string]string `yaml:"zones"`
	// Seeds are addresses of hosts on which control nodes may be found; their ports do not count.
	Seeds []string `yaml:"seeds"`
	// MemoryMB is what the process may use, 0 for no limit.
	MemoryMB int        `yaml:"memoryMB"`
	Log      LogSetting `yaml:"log"`
	Events   int        `yaml:"events"`
}

// Common returns the settings in the form that all servers share.
func (s *Seeded) Common() Common {
	return Common{
		Cluster: seededCluster,
		Node:    s.Node,
		Zone:    s.Zone,
		Control: net.JoinHostPort(s.listen(), strconv.Itoa(s.PeerPort)),
		Admin:   net.JoinHostPort(s.listen(), strconv.Itoa(s.AdminPort)),
		Log:     s.Log,
		Events:  s.Events,
	}
}

func (s *Seeded) listen() string {
	if s.Listen == "" {
		return s.Address
	}
	return s.Listen
}

// Peer returns the address at which other processes of the system reach this one.
func (s *Seeded) Peer() string { return net.JoinHostPort(s.Address, strconv.Itoa(s.PeerPort)) }

// SeedPeers returns the seeds' addresses with the port for peers.
func (s *Seeded) SeedPeers() []string {
	var peers []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil {
			peers = append(peers, net.JoinHostPort(host, strconv.Itoa(s.PeerPort)))
		}
	}
	return peers
}

// seededCluster names every installation that is found from seeds.
const seededCluster = "seeded"

// FleetGateway are the settings of moorspool-fleet-gateway.
type FleetGateway struct {
	Seeded `yaml:",inline"`
	// Clients is where clients' requests come in, Ready where the balancer asks.
	Clients string `yaml:"clients"`
	Ready   string `yaml:"ready"`
	// StopLimit is how long a planned stop may take.
	StopLimit config.Duration `yaml:"stopLimit"`
	// BalancerLag is how long the balancer may still send after readiness ends.
	BalancerLag config.Duration `yaml:"balancerLag"`
	// Retry bounds the arrivals beyond the first of each request, over all gateways.
	Retry RetrySetting `yaml:"retry"`
	// Trust is how long requests with a key are served after the configuration was last
	// known to be the newest, 0 for ever.
	Trust config.Duration `yaml:"trust"`
	// Quota says how exactly limits of client accounts are kept.
	Quota QuotaSetting `yaml:"quota"`
}

// QuotaSetting says how exactly limits of client accounts are kept, over all gateways.
type QuotaSetting struct {
	// Window is the span over which use is counted.
	Window config.Duration `yaml:"window"`
	// Overage is the part of a limit by which a window's use may exceed it, Slack what may
	// come on top, in the limit's unit.
	Overage float64 `yaml:"overage"`
	Slack   float64 `yaml:"slack"`
}

// RetrySetting bounds retries over all gateways.
type RetrySetting struct {
	Ratio  float64         `yaml:"ratio"`
	Extra  float64         `yaml:"extra"`
	Window config.Duration `yaml:"window"`
}

// FleetControl are the settings of moorspool-fleet-control.
type FleetControl struct {
	Seeded `yaml:",inline"`
	// Calls is where operators and replicas call.
	Calls  string `yaml:"calls"`
	Folder string `yaml:"folder"`
	// Found lets an empty folder found the installation together with the seeds.
	Found bool `yaml:"found"`
	// Tolerance is how many control nodes may be lost at once.
	Tolerance int `yaml:"tolerance"`
	// Heartbeat is how often a replica calls.
	Heartbeat config.Duration `yaml:"heartbeat"`
	// Lease is how long two holders must keep apart.
	Lease config.Duration `yaml:"lease"`
	// Store bounds loads from the weight store beyond their rate.
	Store StoreSetting `yaml:"store"`
	// ResendOrders is for how long an operator sends an order about a zone again.
	ResendOrders config.Duration `yaml:"resendOrders"`
	// Quota says how exactly limits of client accounts are kept; gateways have the same.
	Quota QuotaSetting `yaml:"quota"`
}

// StoreSetting says how the weight store's rate is counted.
type StoreSetting struct {
	Window  config.Duration `yaml:"window"`
	Overage float64         `yaml:"overage"`
}

// The defaults of the servers that find each other from seeds.
const (
	defaultStopLimit   = 8 * time.Second
	defaultRetryRatio  = 0.1
	defaultRetryExtra  = 10
	defaultRetryWindow = 10 * time.Second
	defaultHeartbeat   = time.Second
	defaultLease       = 3 * time.Second
	defaultStoreWindow = 5 * time.Second
	defaultTolerance   = 1
	defaultResend      = 8 * time.Second
	defaultQuotaWindow = 10 * time.Second
	defaultOverage     = 0.1
	defaultAdminPort   = 7399
	// logLevelOfRequests writes a line for each request.
	logLevelOfRequests = "debug"
)

func defaultSeeded() Seeded {
	return Seeded{AdminPort: defaultAdminPort, Log: LogSetting{Level: logLevelOfRequests}, Events: DefaultEvents}
}

// LoadFleetGateway reads and checks a gateway's settings; its error is config.Findings for bad ones.
func LoadFleetGateway(file string) (FleetGateway, error) {
	s := FleetGateway{
		Seeded:      defaultSeeded(),
		StopLimit:   config.Duration(defaultStopLimit),
		BalancerLag: config.Duration(DefaultBalancerLag),
		Retry:       RetrySetting{Ratio: defaultRetryRatio, Extra: defaultRetryExtra, Window: config.Duration(defaultRetryWindow)},
		Quota:       defaultQuota(),
	}
	return s, load(file, &s, func(c *checks) {
		c.seeded(s.Seeded)
		c.address("clients", s.Clients)
		c.address("ready", s.Ready)
		if s.Retry.Ratio < 0 || s.Retry.Extra < 0 {
			c.add("retry", "must not be below 0")
		}
		if s.Retry.Window <= 0 {
			c.add("retry.window", "must be above 0")
		}
		if s.Trust < 0 {
			c.add("trust", "must not be below 0")
		}
		c.quota(s.Quota)
	})
}

// LoadFleetControl reads and checks a control node's settings; its error is config.Findings for bad ones.
func LoadFleetControl(file string) (FleetControl, error) {
	s := FleetControl{
		Seeded:    defaultSeeded(),
		Tolerance: defaultTolerance,
		Heartbeat: config.Duration(defaultHeartbeat),
		Lease:     config.Duration(defaultLease),
		Store:     StoreSetting{Window: config.Duration(defaultStoreWindow), Overage: 1},
		Quota:     defaultQuota(),

		ResendOrders: config.Duration(defaultResend),
	}
	return s, load(file, &s, func(c *checks) {
		c.seeded(s.Seeded)
		c.address("calls", s.Calls)
		if s.Folder == "" {
			c.add("folder", "must name the data folder")
		}
		if s.Tolerance < 0 {
			c.add("tolerance", "must not be below 0")
		}
		if s.ResendOrders < 0 {
			c.add("resendOrders", "must not be below 0")
		}
		if s.Heartbeat <= 0 || s.Lease <= 0 || s.Store.Window <= 0 {
			c.add("lease", "must be above 0, as heartbeat and store.window")
		}
		c.quota(s.Quota)
	})
}

func defaultQuota() QuotaSetting {
	return QuotaSetting{Window: config.Duration(defaultQuotaWindow), Overage: defaultOverage}
}

func (c *checks) quota(s QuotaSetting) {
	if s.Window <= 0 {
		c.add("quota.window", "must be above 0")
	}
	if s.Overage < 0 || s.Slack < 0 {
		c.add("quota", "must not be below 0")
	}
}

func (c *checks) seeded(s Seeded) {
	if s.Node == "" {
		c.add("node", "must name this process")
	}
	if s.Zone == "" {
		c.add("zone", "must name the availability zone")
	}
	if net.ParseIP(s.Address) == nil {
		c.add("address", fmt.Sprintf("is %q, which is not an IP number", s.Address))
	}
	if s.Listen != "" && net.ParseIP(s.Listen) == nil {
		c.add("listen", fmt.Sprintf("is %q, which is not an IP number", s.Listen))
	}
	c.positive("peerPort", s.PeerPort)
	c.positive("adminPort", s.AdminPort)
	c.positive("events", s.Events)
	for i, seed := range s.Seeds {
		c.address(fmt.Sprintf("seeds[%d]", i), seed)
	}
	if len(s.Seeds) == 0 {
		c.add("seeds", "must list at least one address")
	}
}
