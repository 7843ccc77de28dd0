package setup

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"

	"wasabislip.example/wasabislip/internal/modules/strict"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

var kebabCase = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// Default returns the values of the settings that a file may leave out.
func Default() *Settings {
	s := &Settings{
		OpsAddress: "127.0.0.1:9090",
	}
	s.Platform.Table = "wasabislip"
	s.Platform.Bucket = "wasabislip"
	s.Platform.Region = "local"
	s.Platform.Timeout = 3 * time.Second
	s.Database.User = "wasabislip"
	s.Database.ConnectTimeout = 2 * time.Second
	s.Database.PollInterval = 20 * time.Millisecond
	s.Limits.Connections = 10_000
	s.Limits.ConnectionsPerWorkspace = 5_000
	s.Limits.KeylessRate = 100
	s.Limits.MessageSize = 1 << 20
	s.Limits.BatchSize = 4 << 20
	s.Limits.PreparedStatements = 1_000
	s.Limits.QueueLength = 1_000
	s.Limits.Memory = 512 << 20
	s.Timeouts.Login = 10 * time.Second
	s.Timeouts.Idle = time.Hour
	s.Timeouts.IdleInTransaction = time.Minute
	s.Timeouts.Statement = 30 * time.Second
	s.Timeouts.Confirm = 5 * time.Second
	s.Timeouts.Queue = 5 * time.Second
	s.Timeouts.Write = 10 * time.Second
	s.Timeouts.BalancerDelay = 2 * time.Second
	s.Timeouts.Drain = 30 * time.Second
	s.Fleet.Interval = time.Second
	s.Fleet.ProbeTimeout = 500 * time.Millisecond
	s.Fleet.SuspectTimeout = 3 * time.Second
	s.Fleet.LeaseDuration = 10 * time.Second
	s.Configuration.ReadsPerSecond = 200
	s.Configuration.Interval = time.Second
	s.Configuration.MaxAge = 6 * time.Second
	s.Log.LinesPerSecond = 200
	return s
}

// Read decodes and checks body. Problems show name as the name of the file. The
// fault lists every problem, one a line.
func Read(name string, body []byte) (*Settings, error) {
	s := Default()
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
	checkName(f, "host", s.Host)
	checkName(f, "data-centre", s.DataCentre)
	checkAddress(f, "caller-address", s.CallerAddress)
	checkAddress(f, "peer-address", s.PeerAddress)
	checkAddress(f, "ops-address", s.OpsAddress)
	for i, seed := range s.Seeds {
		checkAddress(f, fmt.Sprintf("seeds[%d]", i), seed)
	}
	checkURL(f, "platform.table-endpoint", s.Platform.TableEndpoint)
	checkURL(f, "platform.object-endpoint", s.Platform.ObjectEndpoint)
	checkFile(f, "platform.credentials-file", s.Platform.CredentialsFile)
	checkFile(f, "database.password-file", s.Database.PasswordFile)
	s.checkCallers(f)
	s.checkPeers(f)
	s.checkNumbers(f)
	s.checkDurations(f)
}

func (s *Settings) checkCallers(f *strict.File) {
	if s.Callers.Plain {
		checkLoopback(f, "callers.plain", s.CallerAddress)
		return
	}
	requireFile(f, "callers.cert-file", s.Callers.CertFile)
	requireFile(f, "callers.key-file", s.Callers.KeyFile)
}

func (s *Settings) checkPeers(f *strict.File) {
	if s.Peers.Plain {
		checkLoopback(f, "peers.plain", s.PeerAddress)
		return
	}
	requireFile(f, "peers.cert-file", s.Peers.CertFile)
	requireFile(f, "peers.key-file", s.Peers.KeyFile)
	requireFile(f, "peers.ca-file", s.Peers.CAFile)
}

func (s *Settings) checkNumbers(f *strict.File) {
	positive := map[string]int64{
		"limits.connections":               int64(s.Limits.Connections),
		"limits.connections-per-workspace": int64(s.Limits.ConnectionsPerWorkspace),
		"limits.message-size":              s.Limits.MessageSize,
		"limits.batch-size":                s.Limits.BatchSize,
		"limits.statements":                int64(s.Limits.PreparedStatements),
		"limits.queue-length":              int64(s.Limits.QueueLength),
		"limits.memory":                    s.Limits.Memory,
		"log.lines-per-second":             int64(s.Log.LinesPerSecond),
	}
	for path, n := range positive {
		if n <= 0 {
			f.AddProblem(path, "is not above 0", "write a number above 0 or leave it out")
		}
	}
	if s.Limits.KeylessRate <= 0 {
		f.AddProblem("limits.open-rate", "is not above 0", "write a number above 0 or leave it out")
	}
	if s.Configuration.ReadsPerSecond <= 0 {
		f.AddProblem("configuration.reads-per-second", "is not above 0", "write a number above 0 or leave it out")
	}
	if s.Limits.BatchSize < s.Limits.MessageSize {
		f.AddProblem("limits.batch-size", "is below limits.message-size", "make it as large at least")
	}
}

func (s *Settings) checkDurations(f *strict.File) {
	positive := map[string]time.Duration{
		"platform.timeout":             s.Platform.Timeout,
		"database.connect-timeout":     s.Database.ConnectTimeout,
		"database.poll-interval":       s.Database.PollInterval,
		"timeouts.login":               s.Timeouts.Login,
		"timeouts.idle":                s.Timeouts.Idle,
		"timeouts.idle-in-transaction": s.Timeouts.IdleInTransaction,
		"timeouts.statement":           s.Timeouts.Statement,
		"timeouts.confirm":             s.Timeouts.Confirm,
		"timeouts.queue":               s.Timeouts.Queue,
		"timeouts.write":               s.Timeouts.Write,
		"timeouts.drain":               s.Timeouts.Drain,
		"fleet.interval":               s.Fleet.Interval,
		"fleet.probe-timeout":          s.Fleet.ProbeTimeout,
		"fleet.suspect-timeout":        s.Fleet.SuspectTimeout,
		"fleet.lease":                  s.Fleet.LeaseDuration,
		"configuration.interval":       s.Configuration.Interval,
		"configuration.bound":          s.Configuration.MaxAge,
	}
	for path, d := range positive {
		if d <= 0 {
			f.AddProblem(path, "is not above 0", "write a time above 0, as 5s, or leave it out")
		}
	}
	if s.Timeouts.BalancerDelay < 0 || s.Timeouts.BalancerDelay >= s.Timeouts.Drain {
		f.AddProblem("timeouts.balancer", "is below 0 or not below timeouts.drain", "write a time that leaves callers time to finish, as 2s")
	}
	if s.Configuration.MaxAge <= s.Configuration.Interval {
		f.AddProblem("configuration.bound", "is not above configuration.interval", "make it several times the interval")
	}
}

// checkName adds a problem unless name is in kebab case.
func checkName(f *strict.File, path, name string) {
	if !kebabCase.MatchString(name) {
		f.AddProblem(path, "is missing or not in kebab case", "write a name as entry-1")
	}
}

// checkAddress adds a problem unless address is an IP number and a port.
func checkAddress(f *strict.File, path, address string) {
	at, err := netip.ParseAddrPort(address)
	if err != nil || at.Port() == 0 {
		f.AddProblem(path, "is missing or not ip:port", "write an IP number and a port, as 10.0.0.1:5432")
	}
}

// checkLoopback adds a problem if address is not on the loopback interface, which
// is the only one that may do without TLS.
func checkLoopback(f *strict.File, path, address string) {
	at, err := netip.ParseAddrPort(address)
	if err == nil && !at.Addr().IsLoopback() {
		f.AddProblem(path, "is allowed on loopback addresses only", "name cert-file and key-file instead")
	}
}

func checkURL(f *strict.File, path, text string) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		f.AddProblem(path, "is missing or not a URL", "write a URL, as https://10.0.0.5:8000")
	}
}

// requireFile adds a problem unless name is set and the file exists.
func requireFile(f *strict.File, path, name string) {
	if name == "" {
		f.AddProblem(path, "is missing", "name the file, or set plain on a loopback address")
		return
	}
	checkFile(f, path, name)
}

// checkFile adds a problem if name is set and the file does not exist.
func checkFile(f *strict.File, path, name string) {
	if name == "" {
		return
	}
	if _, err := os.Stat(name); err != nil {
		f.AddProblem(path, err.Error(), "name a readable file")
	}
}
