package emulator

import (
	"os"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/moorspool/moorspool/src/config"
)

// Experiment describes the load to generate; it is read from a YAML file.
type Experiment struct {
	Seed     uint64          `yaml:"seed"`
	Duration config.Duration `yaml:"duration"`
	// Rate is the mean number of requests a second outside bursts.
	Rate   float64 `yaml:"rate"`
	Bursts Bursts  `yaml:"bursts"`
	// Tokens is the number of tokens of each answer.
	Tokens int `yaml:"tokens"`
	// Unstreamed is the share of completions that are not streamed.
	Unstreamed float64 `yaml:"whole"`
	// Skew is the exponent of the models' popularity; 0 makes all equally popular.
	Skew     float64         `yaml:"skew"`
	Target   config.Target   `yaml:"target"`
	Deadline config.Duration `yaml:"deadline"`
	// Tries is the maximum number of attempts of a request. It is retried only after a refusal that
	// says that it did not run.
	Tries     int              `yaml:"tries"`
	Service   ServiceLoad      `yaml:"service"`
	Gateways  []GatewayAddress `yaml:"entries"`
	Emulators []string         `yaml:"emulators"`
	// Accelerators is the number by which attainment is divided.
	Accelerators int `yaml:"accelerators"`
}

// Bursts raise the request rate periodically; half of a burst's requests go to a few models.
type Bursts struct {
	Every  config.Duration `yaml:"every"`
	Length config.Duration `yaml:"length"`
	Factor float64         `yaml:"factor"`
}

// ServiceLoad is the part of the load that goes to a plain service.
type ServiceLoad struct {
	Name string `yaml:"name"`
	// Lookup and Register are shares of all requests.
	Lookup   float64 `yaml:"lookup"`
	Register float64 `yaml:"register"`
}

// GatewayAddress holds the addresses of a gateway that the balancer uses.
type GatewayAddress struct {
	Clients string `yaml:"clients"`
	Admin   string `yaml:"admin"`
}

// ReadExperiment reads an experiment. Unknown keys are reported as findings with file and line.
func ReadExperiment(file string) (Experiment, error) {
	e := Experiment{Tokens: defaultTokens, Tries: defaultTries}
	text, err := os.ReadFile(file)
	if err != nil {
		return e, errors.Wrap(err, "reading the experiment")
	}
	if err := yaml.UnmarshalWithOptions(text, &e, yaml.Strict()); err != nil {
		return e, config.Findings{config.YAMLFinding(file, err)}
	}
	if e.Rate <= 0 || e.Duration <= 0 || len(e.Gateways) == 0 {
		return e, errors.Errorf("%s: rate, duration and entries must be given", file)
	}
	return e, nil
}
