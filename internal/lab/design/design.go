// Package design reads the description of an experiment from a YAML file.
package design

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"wasabislip.example/wasabislip/internal/lab/fault"
	"wasabislip.example/wasabislip/internal/lab/load"
	"wasabislip.example/wasabislip/internal/models/tuning"
)

// Design describes an experiment. It runs one trial for each pair of a policy
// and a load, all with the same faults.
type Design struct {
	// Name is the title of the plots.
	Name string `yaml:"name"`
	// Hosts is the number of hosts, spread over three data centres.
	Hosts int `yaml:"hosts"`
	// Duration is how long operations arrive in a trial.
	Duration time.Duration `yaml:"length"`
	// Seed determines the random choices: when operations arrive, at which hosts,
	// and how long callers wait before a retry.
	Seed uint64 `yaml:"seed"`
	// Priorities are the priorities of the databases, by name; 0 is the highest.
	Priorities map[string]int `yaml:"priorities"`
	// Policies are the policies to compare.
	Policies []policy `yaml:"policies"`
	// Loads are the loads to run each policy against.
	Loads []load.Load `yaml:"loads"`
	// Faults are injected in each trial, one after the other.
	Faults []fault.Fault `yaml:"faults"`
}

// policy is a named set of tuning parameters. Parameters that the file leaves
// out have the default values of a host.
type policy struct {
	Name   string        `yaml:"name"`
	Tuning tuning.Tuning `yaml:"tuning"`
}

// UnmarshalYAML sets the defaults before it decodes.
func (p *policy) UnmarshalYAML(decode func(any) error) error {
	type withoutMethods policy
	decoded := withoutMethods{
		Tuning: tuning.Default(),
	}
	if err := decode(&decoded); err != nil {
		return err
	}
	*p = policy(decoded)
	return nil
}

// Load reads and parses a file.
func Load(name string) (*Design, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read the experiment: %w", err)
	}
	return Parse(text)
}

// Parse parses the text of a file. The error lists all problems, one a line.
func Parse(text []byte) (*Design, error) {
	d := &Design{
		Seed: 1,
	}
	if err := yaml.UnmarshalWithOptions(text, d, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("parse the experiment: %w", err)
	}
	if problems := d.problems(); len(problems) > 0 {
		return nil, errors.New(strings.Join(problems, "\n"))
	}
	return d, nil
}

func (d *Design) problems() []string {
	var list []string
	if d.Hosts < 1 || d.Duration <= 0 {
		list = append(list, "hosts and length must be above zero")
	}
	if len(d.Policies) == 0 || len(d.Loads) == 0 {
		list = append(list, "at least one policy and one load are required")
	}
	for _, p := range d.Policies {
		if p.Name == "" {
			list = append(list, "a policy has no name: give it one")
		}
	}
	for i := range d.Loads {
		list = append(list, d.Loads[i].Problems()...)
	}
	for i := range d.Faults {
		list = append(list, d.Faults[i].Problems()...)
	}
	return list
}
