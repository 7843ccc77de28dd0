// Package conf reads the settings of one host of the command edge from a YAML file.
// Such a host runs on a platform whose database instances register themselves. See
// package setup for the settings of the command serve.
package conf

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"
	"unicode"

	"wasabislip.example/wasabislip/internal/modules/strict"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

const (
	// minGracePeriod is the shortest time in which a stop can end sessions in order.
	minGracePeriod = time.Second
	// minMemoryMB and minFiles are what a host needs before it serves any caller.
	minMemoryMB = 32
	minFiles    = 256
	// minLeaveTimeout leaves time for hearing that an instance or a data centre leaves.
	minLeaveTimeout          = 500 * time.Millisecond
	maxLeaveTimeout          = time.Hour
	defaultEvacuationTimeout = 5 * time.Second
	// Bounds of the settings of the usage reports. A holder writes to the store within
	// a part of the lease, and a successor reports within the delay.
	minReportWindow = time.Second
	maxReportWindow = time.Hour
	minUsageDelay   = 2 * time.Second
	maxUsageDelay   = time.Hour
	minLease        = time.Second
	maxLease        = time.Minute
)

// Choices of the instance for a read.
const (
	// LeastCost takes the instance with the lowest latency at this host.
	LeastCost = "least-cost"
	// Even divides the reads evenly, by the load that other hosts report.
	Even = "even"
)

// Settings are the settings of one host.
type Settings struct {
	// Host names this host; unique in the fleet.
	Host string `yaml:"host"`
	// DataCentre names the host's data centre.
	DataCentre string `yaml:"data-centre"`
	// CallerAddress is where callers connect, ip:port.
	CallerAddress string `yaml:"caller-address"`
	// ReadyAddress answers the load balancer's readiness checks, ip:port.
	ReadyAddress string `yaml:"ready-address"`
	// PeerAddress answers the gossip of other hosts, ip:port.
	PeerAddress string `yaml:"peer-address"`
	// RunAddress accepts the statements that other hosts forward, ip:port.
	RunAddress string `yaml:"run-address"`
	// MetricsAddress serves /metrics, ip:port.
	MetricsAddress string `yaml:"metrics-address"`
	// Seeds are the peer addresses of some hosts, separated by commas.
	Seeds string `yaml:"seeds"`
	// StoreAddress is the address of the platform's store, ip:port.
	StoreAddress string `yaml:"store-address"`
	// OrderAddress is the address of the platform's service that changes primaries
	// on request, ip:port.
	OrderAddress string `yaml:"order-address"`
	// GracePeriod is how long a planned stop may take.
	GracePeriod time.Duration `yaml:"grace"`
	// DrainTimeout is how long after an instance's announcement that it leaves new work
	// may reach it; 0 for no bound.
	DrainTimeout time.Duration `yaml:"drain-timeout"`
	// EvacuationTimeout is how long after operators took a data centre out of service
	// statements of open transactions may reach its instances; 5 s if it is absent.
	EvacuationTimeout time.Duration `yaml:"evacuation-timeout"`
	// RateWindow is the length of the window in which operators count a
	// workspace's operations against its rate and burst.
	RateWindow time.Duration `yaml:"rate-window"`
	// RateOverage is the fraction by which the operations in a window may exceed
	// rate and burst, and RateTolerance the number of operations.
	RateOverage   float64 `yaml:"rate-overage"`
	RateTolerance float64 `yaml:"rate-tolerance"`
	// ReportWindow is the length of the windows of the usage reports. The reports are
	// off if this and the next three are absent.
	ReportWindow time.Duration `yaml:"report-window"`
	// UsageDelay is how long after a window's end its report may be sent.
	UsageDelay time.Duration `yaml:"usage-delay"`
	// UsageTolerance is the fraction by which a report may differ from the true counts.
	UsageTolerance float64 `yaml:"usage-tolerance"`
	// LeaseDuration is within what time two hosts must not send reports in turn.
	LeaseDuration time.Duration `yaml:"lease-duration"`
	// MemoryMB is the memory limit of the process, in MB.
	MemoryMB int `yaml:"memory-mb"`
	// MaxFiles is how many file descriptors the process may have.
	MaxFiles int `yaml:"files"`
	// InstanceChoice is how the instance for a read is chosen, LeastCost or Even; empty
	// means LeastCost.
	InstanceChoice string `yaml:"instance-choice"`
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

// Read decodes and checks body. Problems show name as the name of the file.
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

// check adds a problem to f for each setting that is missing or invalid.
func (s *Settings) check(f *strict.File) {
	for key, text := range map[string]string{
		"host":        s.Host,
		"data-centre": s.DataCentre,
	} {
		if !isName(text) {
			f.AddProblem(key, fmt.Sprintf("%q is not a valid name", text), "use letters, digits and dashes")
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
	if s.GracePeriod < minGracePeriod {
		f.AddProblem("grace", "is too short for an orderly stop", "use 1s or more")
	}
	if s.RateWindow < time.Second {
		f.AddProblem("rate-window", "is too short to count in", "use 1s or more")
	}
	for key, d := range map[string]time.Duration{
		"drain-timeout":      s.DrainTimeout,
		"evacuation-timeout": s.EvacuationTimeout,
	} {
		if d != 0 && (d < minLeaveTimeout || d > maxLeaveTimeout) {
			f.AddProblem(key, "is out of range", fmt.Sprintf("use %s to %s, or leave it out", minLeaveTimeout, maxLeaveTimeout))
		}
	}
	if s.EvacuationTimeout == 0 {
		s.EvacuationTimeout = defaultEvacuationTimeout
	}
	s.checkUsage(f)
	if s.MemoryMB < minMemoryMB {
		f.AddProblem("memory-mb", "is too little", "use 32 or more")
	}
	if s.InstanceChoice != "" && s.InstanceChoice != LeastCost && s.InstanceChoice != Even {
		f.AddProblem("instance-choice", fmt.Sprintf("%q is not known", s.InstanceChoice), "use least-cost or even")
	}
	if s.MaxFiles < minFiles {
		f.AddProblem("files", "are too few", "use 256 or more")
	}
}

// isName reports whether a text can be a part of keys that "/" separates, and the value of an
// HTTP header.
func isName(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(c rune) bool {
		return c == '/' || unicode.IsSpace(c) || unicode.IsControl(c)
	})
}

// ReportsUsage reports whether usage reports are on.
func (s *Settings) ReportsUsage() bool {
	return s.ReportWindow != 0 || s.UsageDelay != 0 || s.UsageTolerance != 0 || s.LeaseDuration != 0
}

// checkUsage adds a problem for each invalid setting of the usage reports. They are
// valid if all are absent.
func (s *Settings) checkUsage(f *strict.File) {
	if !s.ReportsUsage() {
		return
	}
	for _, d := range []struct {
		key       string
		value     time.Duration
		low, high time.Duration
	}{
		{key: "report-window", value: s.ReportWindow, low: minReportWindow, high: maxReportWindow},
		{key: "usage-delay", value: s.UsageDelay, low: minUsageDelay, high: maxUsageDelay},
		{key: "lease-duration", value: s.LeaseDuration, low: minLease, high: maxLease},
	} {
		if d.value < d.low || d.value > d.high {
			f.AddProblem(d.key, "is missing or out of range, and usage reports are on", fmt.Sprintf("use %s to %s, or none of report-window, usage-delay, usage-tolerance and lease-duration", d.low, d.high))
		}
	}
	if !(s.UsageTolerance > 0 && s.UsageTolerance < 1) {
		f.AddProblem("usage-tolerance", "is missing or out of range, and usage reports are on", "use a fraction above 0 and below 1")
	}
}

// checkAddress adds a problem unless text is an IP number and a port.
func checkAddress(f *strict.File, key, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		f.AddProblem(key, fmt.Sprintf("%q is not a valid address", text), "use ip:port")
	}
}

// SeedList returns the seeds as a list of addresses.
func (s *Settings) SeedList() []string {
	var list []string
	for _, seed := range strings.Split(s.Seeds, ",") {
		if seed = strings.TrimSpace(seed); seed != "" {
			list = append(list, seed)
		}
	}
	return list
}
