package option

import (
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/route"
)

// Version is the release of this source.
const Version = "0.1.0"

// Flags are the command-line options of the servers.
type Flags struct {
	Settings string `short:"c" long:"settings" env:"MOORSPOOL_CONFIG" description:"YAML settings file" value-name:"FILE"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Found    bool   `long:"found" description:"control nodes only: let an empty data folder found a new installation"`
	Version  bool   `long:"version" description:"print the version and exit"`
	Args     struct {
		Command []string `positional-arg-name:"COMMAND"`
	} `positional-args:"yes"`
}

// Common are the settings that all servers share.
type Common struct {
	// Cluster is the installation's name; processes of another installation are refused.
	Cluster string `yaml:"cluster"`
	// Node is this process's name.
	Node string `yaml:"node"`
	// Zone is the availability zone of this process.
	Zone string `yaml:"zone"`
	// Control is the address at which moorspool's other processes reach this one.
	Control string `yaml:"control"`
	// Admin is the address of the administration API and the metrics.
	Admin  string     `yaml:"admin"`
	Log    LogSetting `yaml:"log"`
	Trace  Trace      `yaml:"trace"`
	Events int        `yaml:"events"`
	// Faults allows tests to simulate a network cut of this process; never set it in production.
	Faults bool `yaml:"faults"`
}

// LogSetting configures the log.
type LogSetting struct {
	Level string `yaml:"level"`
}

// Trace configures tracing; without a file, no spans are written.
type Trace struct {
	File string `yaml:"file"`
	// Share is the part of the requests that are traced, from 0 to 1.
	Share float64 `yaml:"share"`
}

// Peer is another process.
type Peer struct {
	Name    string `yaml:"name"`
	Address string `yaml:"address"`
	Zone    string `yaml:"zone"`
}

// Gateway are the settings of moorspool-gateway.
type Gateway struct {
	Common `yaml:",inline"`
	// Clients is the address that clients send requests to.
	Clients      string `yaml:"clients"`
	ControlNodes []Peer `yaml:"controlNodes"`
	// BalancerLag is how long the load balancer may still send requests after /readyz fails.
	BalancerLag config.Duration `yaml:"balancerLag"`
	// DrainLimit bounds a planned stop; requests that still run are then aborted.
	DrainLimit config.Duration `yaml:"drainLimit"`
	// ConfigWait is how long the gateway waits at startup for the newest configuration.
	ConfigWait config.Duration `yaml:"configWait"`
	// Routing is cost in production; the other modes are baselines for measurements.
	Routing route.Mode `yaml:"routing"`
	Limits  Limits     `yaml:"limits"`
}

// Limits bound the requests of one gateway.
type Limits struct {
	Body config.Bytes `yaml:"body"`
	// Queue is the number of requests that may wait for one model.
	Queue int `yaml:"queue"`
	// QueueWait is the longest time in the queue.
	QueueWait config.Duration `yaml:"queueWait"`
	// RetryShare is the largest ratio of retries to successful requests.
	RetryShare float64 `yaml:"retryShare"`
	// Attempts is the largest number of attempts of one request.
	Attempts int `yaml:"attempts"`
	// HeaderWait is the longest wait for the first byte of a backend server's response.
	HeaderWait config.Duration `yaml:"headerWait"`
	// TokenWait is the longest pause within a stream.
	TokenWait config.Duration `yaml:"tokenWait"`
}

// ControlNode are the settings of moorspool-control.
type ControlNode struct {
	Common `yaml:",inline"`
	Folder string `yaml:"folder"`
	// ControlNodes lists all control nodes, including this one.
	ControlNodes []Peer `yaml:"controlNodes"`
	// DiskCheck is how long the node waits at startup for the other control nodes to report what
	// this node's disk should hold.
	DiskCheck config.Duration `yaml:"diskCheck"`
}

// Planner are the settings of moorspool-planner.
type Planner struct {
	Common       `yaml:",inline"`
	ControlNodes []Peer          `yaml:"controlNodes"`
	Platform     string          `yaml:"platform"`
	ConfigWait   config.Duration `yaml:"configWait"`
	// StoreShare is the part of the weight store's limits that this availability zone may use.
	StoreShare float64 `yaml:"storeShare"`
}

// The defaults of optional settings.
const (
	DefaultEvents      = 4096
	DefaultBalancerLag = 2 * time.Second
	DefaultDrainLimit  = 10 * time.Minute
	DefaultConfigWait  = 3 * time.Second
	DefaultBody        = 4 * config.MiB
	DefaultQueue       = 64
	DefaultQueueWait   = 2 * time.Second
	DefaultRetryShare  = 0.1
	DefaultAttempts    = 3
	DefaultHeaderWait  = 10 * time.Second
	DefaultTokenWait   = 10 * time.Second
	DefaultDiskCheck   = 1500 * time.Millisecond
	DefaultStoreShare  = 1.0 / 3
)

// Usage is the usage line that --help prints above the options.
const Usage = "-c FILE [--check]"

// Parse parses a server's command line. For --help it prints the help and exits; its errors say
// what to do.
func Parse(name string, arguments []string) (Flags, error) {
	var options Flags
	p := flags.NewParser(&options, flags.HelpFlag|flags.PassDoubleDash)
	p.Name = name
	p.Usage = Usage
	if _, err := p.ParseArgs(arguments); err != nil {
		var flagErr *flags.Error
		if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
			fmt.Println(err)
			os.Exit(0)
		}
		return options, errors.Errorf("%s; see %s --help", err, name)
	}
	if options.Settings == "" && !options.Version && len(options.Args.Command) == 0 {
		return options, errors.Errorf("no settings file; use -c FILE, see %s --help", name)
	}
	return options, nil
}

// LoadGateway reads and checks a gateway's settings; invalid settings give a config.Findings error.
func LoadGateway(file string) (Gateway, error) {
	s := Gateway{
		Common:      defaultCommon(),
		BalancerLag: config.Duration(DefaultBalancerLag),
		DrainLimit:  config.Duration(DefaultDrainLimit),
		ConfigWait:  config.Duration(DefaultConfigWait),
		Routing:     route.ByCost,
		Limits: Limits{
			Body:       DefaultBody,
			Queue:      DefaultQueue,
			QueueWait:  config.Duration(DefaultQueueWait),
			RetryShare: DefaultRetryShare,
			Attempts:   DefaultAttempts,
			HeaderWait: config.Duration(DefaultHeaderWait),
			TokenWait:  config.Duration(DefaultTokenWait),
		},
	}
	return s, load(file, &s, func(c *checks) {
		c.common(s.Common)
		c.address("clients", s.Clients)
		c.controlNodes(s.ControlNodes)
		if !slices.Contains(route.Modes, s.Routing) {
			c.add("routing", "must be cost, round-robin or least-reported")
		}
		c.positive("limits.queue", s.Limits.Queue)
		c.positive("limits.attempts", s.Limits.Attempts)
		c.positive("limits.body", int(s.Limits.Body))
		if s.Limits.RetryShare < 0 || s.Limits.RetryShare > 1 {
			c.add("limits.retryShare", "must be between 0 and 1")
		}
	})
}

// LoadControlNode reads and checks a control node's settings; invalid settings give a
// config.Findings error.
func LoadControlNode(file string) (ControlNode, error) {
	s := ControlNode{Common: defaultCommon(), DiskCheck: config.Duration(DefaultDiskCheck)}
	return s, load(file, &s, func(c *checks) {
		c.common(s.Common)
		c.controlNodes(s.ControlNodes)
		if s.Folder == "" {
			c.add("folder", "must name the data folder")
		}
		listed := false
		for _, controlNode := range s.ControlNodes {
			listed = listed || controlNode.Name == s.Node
		}
		if !listed {
			c.add("controlNodes", fmt.Sprintf("must list this control node, %q, too", s.Node))
		}
	})
}

// LoadPlanner reads and checks a planner's settings; invalid settings give a config.Findings error.
func LoadPlanner(file string) (Planner, error) {
	s := Planner{
		Common:     defaultCommon(),
		ConfigWait: config.Duration(DefaultConfigWait),
		StoreShare: DefaultStoreShare,
	}
	return s, load(file, &s, func(c *checks) {
		c.common(s.Common)
		c.controlNodes(s.ControlNodes)
		c.address("platform", s.Platform)
		if s.StoreShare <= 0 || s.StoreShare > 1 {
			c.add("storeShare", "must be above 0 and at most 1")
		}
	})
}

func defaultCommon() Common {
	return Common{Events: DefaultEvents, Log: LogSetting{Level: "info"}, Trace: Trace{Share: 1}}
}

// load decodes a file strictly, then checks it; all findings carry their position in the file.
func load(file string, into any, check func(*checks)) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "reading the settings")
	}
	c := &checks{file: file}
	parsed, err := parser.ParseBytes(text, 0)
	if err != nil {
		c.findings = append(c.findings, config.YAMLFinding(file, err))
		return c.findings
	}
	if len(parsed.Docs) > 0 {
		c.root = parsed.Docs[0].Body
	}
	if err := yaml.UnmarshalWithOptions(text, into, yaml.Strict()); err != nil {
		c.findings = append(c.findings, config.YAMLFinding(file, err))
		return c.findings
	}
	check(c)
	return c.findings.Err()
}

// checks collects findings on a settings file.
type checks struct {
	file     string
	root     ast.Node
	findings config.Findings
}

// add records a finding on the setting at a path.
func (c *checks) add(path, message string) {
	place := config.NewLocation(c.file, c.root)
	c.findings = append(c.findings, place.At(path, path+" "+message))
}

func (c *checks) common(s Common) {
	if s.Cluster == "" {
		c.add("cluster", "must name the installation")
	}
	if s.Node == "" || strings.ContainsAny(s.Node, "#/ ") {
		c.add("node", "must name this process, without '#', '/' and spaces")
	}
	if s.Zone == "" {
		c.add("zone", "must name the availability zone")
	}
	c.address("control", s.Control)
	c.address("admin", s.Admin)
	c.positive("events", s.Events)
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		c.add("log.level", "must be debug, info, warn or error")
	}
	if s.Trace.Share < 0 || s.Trace.Share > 1 {
		c.add("trace.share", "must be between 0 and 1")
	}
}

func (c *checks) address(path, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		c.add(path, fmt.Sprintf("is %q, which is not an IP number with a port, such as 10.0.0.7:7100", value))
	}
}

func (c *checks) positive(path string, value int) {
	if value < 1 {
		c.add(path, "must be at least 1")
	}
}

func (c *checks) controlNodes(controlNodes []Peer) {
	if len(controlNodes) == 0 {
		c.add("controlNodes", "must list at least one control node")
	}
	seen := map[string]bool{}
	for i, controlNode := range controlNodes {
		path := fmt.Sprintf("controlNodes[%d]", i)
		c.address(path+".address", controlNode.Address)
		if controlNode.Name == "" || seen[controlNode.Name] {
			c.add(path+".name", "must not be empty and must be unique")
		}
		seen[controlNode.Name] = true
	}
}
