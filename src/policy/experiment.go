package policy

import (
	"os"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/config"
)

// Experiment describes a simulation. It is read from a YAML file.
type Experiment struct {
	Name     string          `yaml:"name"`
	Seed     uint64          `yaml:"seed"`
	Duration config.Duration `yaml:"duration"`
	Zones    int             `yaml:"zones"`
	// Hosts is the number of engines in each zone, with one accelerator each.
	Hosts    int            `yaml:"hosts"`
	Memory   config.Bytes   `yaml:"memory"`
	Models   int            `yaml:"models"`
	Sizes    []config.Bytes `yaml:"sizes"`
	Adapters int            `yaml:"adapters"`
	Slots    int            `yaml:"slots"`
	Weigh    config.Weigh   `yaml:"weigh"`
	Store    config.Store   `yaml:"store"`
	// LoadTime is the duration of one load at full speed.
	LoadTime config.Duration `yaml:"loadTime"`
	// Service is the duration of a request on an idle engine.
	Service config.Duration `yaml:"service"`
	// MaxLoadFactor is the highest load factor, in requests per slot, at which a
	// request still meets its target.
	MaxLoadFactor float64 `yaml:"crowd"`
	Demand        Demand  `yaml:"demand"`
	// ReportLag is the interval at which routers receive the engines' loads.
	ReportLag config.Duration `yaml:"reportLag"`
	// LostOrders is the share of orders that are lost.
	LostOrders float64    `yaml:"lostOrders"`
	HostLosses []HostLoss `yaml:"hostLosses"`
}

// Demand describes the request load.
type Demand struct {
	// Rate is the mean number of requests a second over all models.
	Rate float64 `yaml:"rate"`
	// Skew is the exponent of the Zipf distribution of the models' popularity.
	Skew float64 `yaml:"skew"`
	// Shift is the interval at which the popularity shifts to other models.
	Shift config.Duration `yaml:"shift"`
	// During a burst, the demand for BurstModels models is multiplied by BurstFactor.
	BurstEvery  config.Duration `yaml:"burstEvery"`
	BurstLength config.Duration `yaml:"burstLength"`
	BurstFactor float64         `yaml:"burstFactor"`
	BurstModels int             `yaml:"burstModels"`
}

// HostLoss makes a host unavailable for a time.
type HostLoss struct {
	At   config.Duration `yaml:"at"`
	Zone int             `yaml:"zone"`
	Host int             `yaml:"host"`
	For  config.Duration `yaml:"for"`
}

// ReadExperiment reads an experiment. Unknown keys are reported as findings.
func ReadExperiment(file string) (Experiment, error) {
	var e Experiment
	text, err := os.ReadFile(file)
	if err != nil {
		return e, errors.Wrap(err, "reading the experiment")
	}
	if err := yaml.UnmarshalWithOptions(text, &e, yaml.Strict()); err != nil {
		return e, config.Findings{config.YAMLFinding(file, err)}
	}
	if e.Zones < 1 || e.Hosts < 1 || e.Models < 1 || e.Slots < 1 || len(e.Sizes) == 0 || e.Demand.Rate <= 0 || e.Duration <= 0 {
		return e, errors.Errorf("%s: duration, zones, hosts, models, sizes, slots and demand.rate must be given", file)
	}
	return e, nil
}
