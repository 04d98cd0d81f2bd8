package emulator

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/config"
	"github.com/moorspool/moorspool/src/discovery"
	"github.com/moorspool/moorspool/src/engine"
)

// The kinds of emulator.
const (
	KindEngine   = "engine"
	KindService  = "service"
	KindStore    = "store"
	KindPlatform = "platform"
)

// Settings configure one emulator process; they are read from a YAML file.
type Settings struct {
	Kind   string `yaml:"kind"`
	Listen string `yaml:"listen"`
	Host   string `yaml:"host,omitempty"`

	Accelerators int             `yaml:"accelerators,omitempty"`
	Memory       config.Bytes    `yaml:"memory,omitempty"`
	Slots        int             `yaml:"slots,omitempty"`
	Prefill      config.Duration `yaml:"prefill,omitempty"`
	Gap          config.Duration `yaml:"gap,omitempty"`
	Checks       bool            `yaml:"checks,omitempty"`
	Store        string          `yaml:"store,omitempty"`
	Warm         []WarmCopy      `yaml:"warm,omitempty"`

	Work config.Duration `yaml:"work,omitempty"`

	LoadsPerSecond float64      `yaml:"loadsPerSecond,omitempty"`
	FullSpeed      int          `yaml:"fullSpeed,omitempty"`
	Bandwidth      config.Bytes `yaml:"bandwidth,omitempty"`

	Lag   config.Duration `yaml:"lag,omitempty"`
	Hosts []ListedHost    `yaml:"hosts,omitempty"`
}

// WarmCopy is a copy that is ready when its engine starts.
type WarmCopy struct {
	Model       string       `yaml:"model"`
	Adapter     string       `yaml:"adapter,omitempty"`
	Version     string       `yaml:"version"`
	Accelerator int          `yaml:"accelerator"`
	Bytes       config.Bytes `yaml:"bytes"`
}

// ListedHost is an entry of the platform's host list.
type ListedHost struct {
	Name    string `yaml:"name"`
	Pool    string `yaml:"pool"`
	Zone    string `yaml:"zone"`
	Address string `yaml:"address"`
}

// ReadSettings reads an emulator's settings. Unknown keys are reported as findings with file and
// line.
func ReadSettings(file string) (Settings, error) {
	var s Settings
	text, err := os.ReadFile(file)
	if err != nil {
		return s, errors.Wrap(err, "reading the emulator's settings")
	}
	if err := yaml.UnmarshalWithOptions(text, &s, yaml.Strict()); err != nil {
		return s, config.Findings{config.YAMLFinding(file, err)}
	}
	return s, nil
}

// Start starts the emulator that the settings describe.
func (s Settings) Start() error {
	ln, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	switch s.Kind {
	case KindEngine:
		NewEngine(s.engineOptions()).Serve(ln)
	case KindService:
		NewPlainService(s.Host, s.Work.Std()).Serve(ln)
	case KindStore:
		NewStore(s.LoadsPerSecond, s.FullSpeed, s.Bandwidth).Serve(ln)
	case KindPlatform:
		NewPlatform(s.listedHosts(), s.Lag.Std()).Serve(ln)
	default:
		return errors.Errorf("kind %q is unknown", s.Kind)
	}
	return nil
}

func (s Settings) engineOptions() EngineOptions {
	options := EngineOptions{
		Host:    s.Host,
		Slots:   max(s.Slots, 1),
		Prefill: s.Prefill.Std(),
		Gap:     s.Gap.Std(),
		Checks:  s.Checks,
		Store:   s.Store,
	}
	for i := 0; i < s.Accelerators; i++ {
		options.Capacity = append(options.Capacity, s.Memory)
	}
	for _, warm := range s.Warm {
		options.Warm = append(options.Warm, engine.Copy{
			Weights:     engine.Weights{Model: warm.Model, Adapter: warm.Adapter, Version: warm.Version},
			Accelerator: warm.Accelerator,
			Bytes:       warm.Bytes,
		})
	}
	return options
}

func (s Settings) listedHosts() []discovery.Host {
	var hosts []discovery.Host
	for _, host := range s.Hosts {
		hosts = append(hosts, discovery.Host{Name: host.Name, Pool: host.Pool, Zone: host.Zone, Address: host.Address})
	}
	return hosts
}

// Speed of the demo's emulators: an idle engine is well within the latency targets.
const (
	emulatorSlots   = 16
	emulatorPrefill = 60 * time.Millisecond
	emulatorGap     = 25 * time.Millisecond
	emulatorWork    = 15 * time.Millisecond
	platformLag     = 1500 * time.Millisecond
)

// emulatorBandwidth is the bandwidth of one load from the weight store at full speed.
const emulatorBandwidth = 8 * config.GiB

func hostName(pool, zone string, number int) string {
	return fmt.Sprintf("%s-%s-%d", pool, zone, number)
}
