// Package local holds the settings of a host on a platform whose instances
// register themselves, read from a YAML file.
package local

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"wasabislip.example/wasabislip/internal/modules/strict"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

const (
	// leastGrace is the shortest time in which a stop can be orderly.
	leastGrace = time.Second
	// leastMemory and leastFiles are what a host needs for itself.
	leastMemory = 32
	leastFiles  = 256
)

// Settings are a host's own settings.
type Settings struct {
	// Host names this host; unique in the fleet.
	Host string `yaml:"host"`
	// DataCentre names where the host stands.
	DataCentre string `yaml:"data-centre"`
	// CallerAddress takes callers, ip:port.
	CallerAddress string `yaml:"caller-address"`
	// ReadyAddress answers the balancer, ip:port.
	ReadyAddress string `yaml:"ready-address"`
	// PeerAddress answers other hosts, ip:port.
	PeerAddress string `yaml:"peer-address"`
	// RunAddress takes other hosts' statements, ip:port.
	RunAddress string `yaml:"run-address"`
	// MetricsAddress serves /metrics, ip:port.
	MetricsAddress string `yaml:"metrics-address"`
	// Seeds are peer addresses of some hosts, one text with commas between.
	Seeds string `yaml:"seeds"`
	// StoreAddress is the platform's store, ip:port.
	StoreAddress string `yaml:"store-address"`
	// OrderAddress takes the orders that change a primary, ip:port.
	OrderAddress string `yaml:"order-address"`
	// Grace is how long a planned stop may take.
	Grace time.Duration `yaml:"grace"`
	// RateWindow is the time in which operators count a workspace's rate and
	// burst.
	RateWindow time.Duration `yaml:"rate-window"`
	// RateOverage is the part by which a window may exceed them, and
	// RateTolerance the number of operations.
	RateOverage   float64 `yaml:"rate-overage"`
	RateTolerance float64 `yaml:"rate-tolerance"`
	// Memory is the limit of the process, in MB.
	Memory int `yaml:"memory-mb"`
	// Files is how many descriptors the process may have.
	Files int `yaml:"files"`
}

// Load reads and checks the settings file. The fault lists every problem, one
// a line.
func Load(name string) (*Settings, error) {
	body, err := os.ReadFile(name)
	if err != nil {
		return nil, fault.New(
			fault.BadRequest,
			"settings can't be read: "+err.Error(),
			"name a readable file",
		).Wrap(err)
	}
	return Read(name, body)
}

// Read decodes and checks body; name is how problems call the file.
func Read(name string, body []byte) (*Settings, error) {
	s := &Settings{}
	f := strict.Read(name, body, s)
	s.check(f)
	problems := f.Problems()
	if len(problems) == 0 {
		return s, nil
	}
	return nil, fault.New(
		fault.BadRequest,
		strings.Join(problems, "\n"),
		"correct the settings and start again",
	)
}

func (s *Settings) check(f *strict.File) {
	for key, text := range map[string]string{
		"host":        s.Host,
		"data-centre": s.DataCentre,
	} {
		if text == "" || strings.ContainsAny(text, " \t/") {
			f.Refuse(key, fmt.Sprintf("%q is no name", text), "use letters, digits and dashes")
		}
	}
	for key, text := range map[string]string{
		"caller-address":  s.CallerAddress,
		"ready-address":   s.ReadyAddress,
		"peer-address":    s.PeerAddress,
		"metrics-address": s.MetricsAddress,
		"run-address":     s.RunAddress,
		"store-address":   s.StoreAddress,
		"order-address":   s.OrderAddress,
	} {
		checkAddress(f, key, text)
	}
	for _, seed := range s.SeedList() {
		checkAddress(f, "seeds", seed)
	}
	if s.Grace < leastGrace {
		f.Refuse("grace", "is too short for an orderly stop", "use 1s or more")
	}
	if s.RateWindow < time.Second {
		f.Refuse("rate-window", "is too short to count in", "use 1s or more")
	}
	if s.Memory < leastMemory {
		f.Refuse("memory-mb", "is too little", "use 32 or more")
	}
	if s.Files < leastFiles {
		f.Refuse("files", "are too few", "use 256 or more")
	}
}

func checkAddress(f *strict.File, key, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		f.Refuse(key, fmt.Sprintf("%q is no address", text), "use ip:port")
	}
}

// SeedList returns the seeds, one an entry.
func (s *Settings) SeedList() []string {
	var list []string
	for _, seed := range strings.Split(s.Seeds, ",") {
		if seed = strings.TrimSpace(seed); seed != "" {
			list = append(list, seed)
		}
	}
	return list
}
