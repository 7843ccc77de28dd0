package scenes_test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rogpeppe/go-internal/testscript"

	"wasabislip.example/wasabislip/internal/models/term"
	"wasabislip.example/wasabislip/internal/standin/netem"
	"wasabislip.example/wasabislip/pkg/model/centre"
	"wasabislip.example/wasabislip/pkg/model/group"
	"wasabislip.example/wasabislip/pkg/model/inst"
	"wasabislip.example/wasabislip/pkg/model/keys"
	"wasabislip.example/wasabislip/pkg/model/route"
	"wasabislip.example/wasabislip/pkg/model/space"
	"wasabislip.example/wasabislip/pkg/model/spec"
)

const (
	slots       = 3
	connections = 20
	steadyTime  = 2 * time.Second
	steadyLimit = 20 * time.Second
	testSalt    = "00112233445566778899aabbccddeeff"
)

// centres are the data centres of every installation, in the order of hosts
// and instances.
var centres = []string{"daejeon-a", "sejong-b", "cheongju-c"}

// installation is what install builds.
type installation struct {
	hosts       int
	databases   int
	connections int
}

const settingsText = `host: host-%[1]d
data-centre: %[2]s
caller-address: %[3]s
peer-address: %[4]s
ops-address: %[5]s
seeds: [%[6]s]
platform:
  table-endpoint: http://%[7]s
  object-endpoint: http://%[7]s
database:
  user: wasabislip
callers:
  plain: true
peers:
  plain: true
`

// install [hosts=N] [databases=N] [connections=N] starts a platform, the
// instances of each database (a, b, c, then d, e, f) and hosts, each instance
// and each host's way to the platform behind a cable, and applies fleet.yaml.
// It sets $URL_1, $OPS_1, $PEER_1 and so on for hosts, $DIRECT_a for instances,
// and ends once the first database takes writes.
func install(c *cast, ts *testscript.TestScript, args []string) (string, error) {
	in := installation{
		hosts:       3,
		databases:   1,
		connections: connections,
	}
	numbers := map[string]*int{
		"hosts":       &in.hosts,
		"databases":   &in.databases,
		"connections": &in.connections,
	}
	for _, arg := range args {
		name, text, _ := strings.Cut(arg, "=")
		n, err := strconv.Atoi(text)
		if err != nil || numbers[name] == nil {
			return "", fmt.Errorf("usage: install [hosts=N] [databases=N] [connections=N]")
		}
		*numbers[name] = n
	}
	return in.build(c, ts)
}

func (in installation) build(c *cast, ts *testscript.TestScript) (string, error) {
	names := []string{"TABLE"}
	for i := 1; i <= in.hosts; i++ {
		n := strconv.Itoa(i)
		names = append(names, "CALLER_"+n, "PEER_"+n, "OPS_"+n)
	}
	if _, err := address(c, ts, names); err != nil {
		return "", err
	}
	if err := c.start("platform", "standin-platform", []string{"--address", ts.Getenv("TABLE")}); err != nil {
		return "", err
	}
	file, err := in.file(c, ts)
	if err != nil {
		return "", err
	}
	if err := os.WriteFile(ts.MkAbs("fleet.yaml"), file, 0o600); err != nil {
		return "", err
	}
	for i := 1; i <= in.hosts; i++ {
		if err := in.host(c, ts, i); err != nil {
			return "", err
		}
	}
	ts.Check(ts.Exec("wasabislip", "apply", "--address", ts.Getenv("PEER_1"), "--plain", "fleet.yaml"))
	for i := 1; i <= in.hosts; i++ {
		eventually(ts, false, []string{"9s", "ready", "get", "http://" + ts.Getenv("OPS_"+strconv.Itoa(i)) + "/readyz"})
	}
	eventually(ts, false, []string{"12s", "ready", "sql", ts.Getenv("URL_1"), "SELECT put('installed', 'ready')"})
	return "", steady(ts)
}

// host writes a host's settings, starts it and sets its addresses.
func (in installation) host(c *cast, ts *testscript.TestScript, i int) error {
	n := strconv.Itoa(i)
	var seeds []string
	for j := 1; j <= in.hosts; j++ {
		if j != i {
			seeds = append(seeds, strconv.Quote(ts.Getenv("PEER_"+strconv.Itoa(j))))
		}
	}
	platform, err := c.lay("platform-"+n, ts.Getenv("TABLE"))
	if err != nil {
		return err
	}
	text := fmt.Sprintf(
		settingsText, i, centres[(i-1)%len(centres)],
		ts.Getenv("CALLER_"+n), ts.Getenv("PEER_"+n), ts.Getenv("OPS_"+n),
		strings.Join(seeds, ", "), platform,
	)
	if err := os.WriteFile(ts.MkAbs("host-"+n+".yaml"), []byte(text), 0o600); err != nil {
		return err
	}
	ts.Setenv("URL_"+n, "postgres://orchid-market:orchid-market-secret@"+ts.Getenv("CALLER_"+n)+"/swap-ledger-1?sslmode=disable")
	return c.start("host-"+n, "wasabislip", []string{"serve", "--settings", "host-" + n + ".yaml"})
}

// steady waits until the database's steward and primary have stayed the same
// for a while: hosts that come up one after another may take it in turn.
func steady(ts *testscript.TestScript) error {
	var last term.Term
	since := time.Now()
	for end := since.Add(steadyLimit); time.Now().Before(end); time.Sleep(steadyTime / 10) {
		t, err := termRow(ts)
		if err != nil {
			return err
		}
		if t != last {
			last, since = t, time.Now()
		}
		if time.Since(since) >= steadyTime {
			return nil
		}
	}
	return fmt.Errorf("the database's steward did not stay the same for %s", steadyTime)
}

// file starts the instances and returns the file that describes the fleet.
func (in installation) file(c *cast, ts *testscript.TestScript) ([]byte, error) {
	s := spec.Spec{
		Routes:       routes(),
		DefaultRoute: "settle",
	}
	for _, name := range centres {
		s.DataCentres = append(s.DataCentres, centre.Centre{
			Name:   name,
			Region: "kr-central",
		})
	}
	for d := range in.databases {
		db := group.Database{
			Name:    fmt.Sprintf("swap-ledger-%d", d+1),
			Service: "swap-ledger",
		}
		for i := range centres {
			one, err := in.instance(c, ts, string(rune('a'+d*len(centres)+i)), centres[i])
			if err != nil {
				return nil, err
			}
			db.Instances = append(db.Instances, one)
		}
		s.Databases = append(s.Databases, db)
	}
	s.Workspaces = append(s.Workspaces, workspace("orchid-market", "swap-ledger-1"))
	s.Workspaces = append(s.Workspaces, workspace("salon-lotus", s.Databases[len(s.Databases)-1].Name))
	return yaml.Marshal(s)
}

func (in installation) instance(c *cast, ts *testscript.TestScript, name, dataCentre string) (inst.Instance, error) {
	direct, err := freeAddress()
	if err != nil {
		return inst.Instance{}, err
	}
	err = c.start(name, "standin-database", []string{
		"--name", name, "--address", direct,
		"--slots", strconv.Itoa(slots), "--connections", strconv.Itoa(in.connections),
	})
	if err != nil {
		return inst.Instance{}, err
	}
	ts.Setenv("DIRECT_"+name, "postgres://wasabislip@"+direct+"/swap-ledger-1?sslmode=disable")
	through, err := c.lay(name, direct)
	return inst.Instance{
		Name:        name,
		Address:     through,
		DataCentre:  dataCentre,
		Slots:       slots,
		Connections: in.connections,
	}, err
}

func routes() []route.Route {
	return []route.Route{
		{
			Name: "settle",
			Kind: route.Write,
		},
		{
			Name:      "browse",
			Kind:      route.Read,
			Freshness: route.Session,
		},
		{
			Name:      "public",
			Kind:      route.Read,
			Freshness: route.Bounded,
			MaxAge:    5 * time.Second,
			Open:      true,
		},
	}
}

// workspace returns a customer whose key is its name and "-secret".
func workspace(name, database string) space.Workspace {
	return space.Workspace{
		Name:      name,
		Rate:      20_000,
		Burst:     40_000,
		Weight:    1,
		Databases: []string{database},
		Keys: []keys.Key{
			{
				ID:   name + "-1",
				Salt: testSalt,
				Hash: keys.Sum(testSalt, name+"-secret"),
			},
		},
	}
}

// lay starts a cable to target and returns its address. What passes towards
// the target is kept in NAME.bytes.
func (c *cast) lay(name, target string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	kept, err := os.OpenFile(filepath.Join(c.dir, name+".bytes"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return "", err
	}
	line := netem.New(target)
	go func() {
		_ = line.Serve(recording{
			Listener: l,
			kept:     kept,
		})
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cables[name] = line
	return l.Addr().String(), nil
}

// recording is a listener that keeps what its connections read.
type recording struct {
	net.Listener
	kept *os.File
}

func (r recording) Accept() (net.Conn, error) {
	conn, err := r.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return recorded{
		Conn: conn,
		kept: r.kept,
	}, nil
}

type recorded struct {
	net.Conn
	kept *os.File
}

func (r recorded) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	_, _ = r.kept.Write(p[:n])
	return n, err
}

// wire NAME WORD ... sets each named cable: cut (both ways), to-target,
// to-client (that way only), whole, or a delay as 50ms.
func wire(c *cast, _ *testscript.TestScript, args []string) (string, error) {
	word := args[0]
	cut, delay := "", time.Duration(0)
	switch word {
	case "cut":
		cut = netem.CutBoth
	case "whole":
	case netem.CutToTarget, netem.CutToClient:
		cut = word
	default:
		var err error
		if delay, err = time.ParseDuration(word); err != nil {
			return "", err
		}
	}
	for _, name := range args[1:] {
		c.mu.Lock()
		line := c.cables[name]
		c.mu.Unlock()
		if line == nil {
			return "", fmt.Errorf("no cable named %s", name)
		}
		if err := line.Set(cut, delay); err != nil {
			return "", err
		}
	}
	return "", nil
}
