package option

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/moorspool/moorspool/src/config"
)

// Seeded are the settings of servers that find each other through seed addresses.
type Seeded struct {
	// Node is this process's name, Zone its availability zone.
	Node string `yaml:"node"`
	Zone string `yaml:"zone"`
	// Address is the IP address at which other hosts reach this one.
	Address string `yaml:"address"`
	// Listen is the IP address to listen at, if it differs from Address, as behind a port
	// forwarder; by default it is Address.
	Listen string `yaml:"listen"`
	// PeerPort is the port of the control protocol, the same on all hosts.
	PeerPort int `yaml:"peerPort"`
	// AdminPort is the port of metrics, status and events.
	AdminPort int `yaml:"adminPort"`
	// Zones are the installation's availability zones with the region of each. Without them,
	// regions are unknown and orders about any zone are accepted.
	Zones map[string]string `yaml:"zones"`
	// Seeds are addresses of hosts that may run control nodes; their ports are ignored.
	Seeds []string `yaml:"seeds"`
	// MemoryMB is the memory that the process may use, 0 for no limit.
	MemoryMB int        `yaml:"memoryMB"`
	Log      LogSetting `yaml:"log"`
	Events   int        `yaml:"events"`
}

// Common returns these settings as Common.
func (s *Seeded) Common() Common {
	return Common{
		Cluster: seededClusterName,
		Node:    s.Node,
		Zone:    s.Zone,
		Control: net.JoinHostPort(s.ListenAddress(), strconv.Itoa(s.PeerPort)),
		Admin:   net.JoinHostPort(s.ListenAddress(), strconv.Itoa(s.AdminPort)),
		Log:     s.Log,
		Events:  s.Events,
	}
}

// ListenAddress returns the IP address to listen at.
func (s *Seeded) ListenAddress() string {
	if s.Listen == "" {
		return s.Address
	}
	return s.Listen
}

// Peer returns the address at which moorspool's other processes reach this one.
func (s *Seeded) Peer() string { return net.JoinHostPort(s.Address, strconv.Itoa(s.PeerPort)) }

// SeedPeers returns the seeds' addresses with PeerPort in place of their own ports.
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

// seededClusterName is the name of every installation that uses seeds.
const seededClusterName = "seeded"

// FleetGateway are the settings of moorspool-fleet-gateway.
type FleetGateway struct {
	Seeded `yaml:",inline"`
	// Clients is the address that clients send requests to, Ready that of the load balancer's
	// readiness check.
	Clients string `yaml:"clients"`
	Ready   string `yaml:"ready"`
	// StopLimit is the longest time of a planned stop.
	StopLimit config.Duration `yaml:"stopLimit"`
	// ForwardPort is the port at which this gateway takes requests of other gateways, 0 for any free
	// one.
	ForwardPort int `yaml:"forwardPort"`
	// BalancerLag is how long the load balancer may still send requests after the readiness check
	// fails.
	BalancerLag config.Duration `yaml:"balancerLag"`
	// Retry bounds the attempts after the first one of each request, over all gateways.
	Retry RetrySetting `yaml:"retry"`
	// Trust is how long requests with a key are served after the gateway last confirmed that its
	// configuration is the newest, 0 for no limit.
	Trust config.Duration `yaml:"trust"`
	// Quota configures how precisely the limits of client accounts are enforced.
	Quota QuotaSetting `yaml:"quota"`
}

// QuotaSetting configures how precisely the limits of client accounts are enforced over all
// gateways.
type QuotaSetting struct {
	// Window is the time over which use is counted.
	Window config.Duration `yaml:"window"`
	// Overage is the part of a limit by which the use in a window may exceed it, Slack a further
	// excess in the limit's unit.
	Overage float64 `yaml:"overage"`
	Slack   float64 `yaml:"slack"`
}

// RetrySetting bounds the retries of all gateways together.
type RetrySetting struct {
	Ratio  float64         `yaml:"ratio"`
	Extra  float64         `yaml:"extra"`
	Window config.Duration `yaml:"window"`
}

// FleetControl are the settings of moorspool-fleet-control.
type FleetControl struct {
	Seeded `yaml:",inline"`
	// Calls is the address that operators and replicas send requests to.
	Calls  string `yaml:"calls"`
	Folder string `yaml:"folder"`
	// Found allows a node with an empty folder to found the installation together with the seeds.
	Found bool `yaml:"found"`
	// Tolerance is the number of control nodes that may fail at the same time.
	Tolerance int `yaml:"tolerance"`
	// Heartbeat is the interval of a replica's heartbeats.
	Heartbeat config.Duration `yaml:"heartbeat"`
	// Lease is the minimum time between the orders of two successive leaders.
	Lease config.Duration `yaml:"lease"`
	// Store bounds how far loads from the weight store may exceed its rate.
	Store StoreSetting `yaml:"store"`
	// ResendOrders is how long an operator keeps resending an unacknowledged order about a zone.
	ResendOrders config.Duration `yaml:"resendOrders"`
	// Quota configures how precisely the limits of client accounts are enforced; gateways need the
	// same setting.
	Quota QuotaSetting `yaml:"quota"`
}

// StoreSetting configures how the rate of the weight store is counted.
type StoreSetting struct {
	Window  config.Duration `yaml:"window"`
	Overage float64         `yaml:"overage"`
}

// The defaults of servers that use seeds.
const (
	defaultStopLimit    = 8 * time.Second
	defaultRetryRatio   = 0.1
	defaultRetryExtra   = 10
	defaultRetryWindow  = 10 * time.Second
	defaultHeartbeat    = time.Second
	defaultLease        = 3 * time.Second
	defaultStoreWindow  = 5 * time.Second
	defaultTolerance    = 1
	defaultResendOrders = 8 * time.Second
	defaultQuotaWindow  = 10 * time.Second
	defaultOverage      = 0.1
	defaultAdminPort    = 7399
	// requestLogLevel is the level at which each request is logged.
	requestLogLevel = "debug"
)

func defaultSeeded() Seeded {
	return Seeded{AdminPort: defaultAdminPort, Log: LogSetting{Level: requestLogLevel}, Events: DefaultEvents}
}

// LoadFleetGateway reads and checks a gateway's settings; invalid settings give a config.Findings
// error.
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
		if s.ForwardPort < 0 {
			c.add("forwardPort", "must not be below 0")
		}
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

// LoadFleetControl reads and checks a control node's settings; invalid settings give a
// config.Findings error.
func LoadFleetControl(file string) (FleetControl, error) {
	s := FleetControl{
		Seeded:    defaultSeeded(),
		Tolerance: defaultTolerance,
		Heartbeat: config.Duration(defaultHeartbeat),
		Lease:     config.Duration(defaultLease),
		Store:     StoreSetting{Window: config.Duration(defaultStoreWindow), Overage: 1},
		Quota:     defaultQuota(),

		ResendOrders: config.Duration(defaultResendOrders),
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
			c.add("lease", "must be above 0, as must heartbeat and store.window")
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
