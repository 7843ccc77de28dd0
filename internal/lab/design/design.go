// Package design reads the description of an experiment.
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

// Design is an experiment: each policy meets each load, with the same faults.
type Design struct {
	// Name is the title.
	Name string `yaml:"name"`
	// Hosts is how many hosts serve, over three data centres.
	Hosts int `yaml:"hosts"`
	// Length is how long callers come.
	Length time.Duration `yaml:"length"`
	// Seed fixes when callers come and where.
	Seed uint64 `yaml:"seed"`
	// Priorities are those of the databases; 0 goes first.
	Priorities map[string]int `yaml:"priorities"`
	// Policies are compared.
	Policies []policy `yaml:"policies"`
	// Loads are what callers ask for.
	Loads []load.Load `yaml:"loads"`
	// Faults happen in each play.
	Faults []fault.Fault `yaml:"faults"`
}

// policy is one choice of what decides how long statements wait. Fields that a
// file leaves out keep the hosts' usual values.
type policy struct {
	Name   string        `yaml:"name"`
	Tuning tuning.Tuning `yaml:"tuning"`
}

// UnmarshalYAML fills in the usual values first.
func (p *policy) UnmarshalYAML(decode func(any) error) error {
	type plain policy
	filled := plain{
		Tuning: tuning.Default(),
	}
	if err := decode(&filled); err != nil {
		return err
	}
	*p = policy(filled)
	return nil
}

// Load reads a file. The error names everything that is wrong with it.
func Load(name string) (*Design, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read the experiment: %w", err)
	}
	return Parse(text)
}

// Parse reads the text of a file.
func Parse(text []byte) (*Design, error) {
	d := &Design{
		Seed: 1,
	}
	if err := yaml.UnmarshalWithOptions(text, d, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("the experiment can't be read: %w", err)
	}
	if list := d.problems(); len(list) > 0 {
		return nil, errors.New(strings.Join(list, "\n"))
	}
	return d, nil
}

func (d *Design) problems() []string {
	var list []string
	if d.Hosts < 1 || d.Length <= 0 {
		list = append(list, "hosts and length are needed, above zero")
	}
	if len(d.Policies) == 0 || len(d.Loads) == 0 {
		list = append(list, "at least one policy and one load are needed")
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
