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
	slots         = 3
	connections   = 20
	stableTime    = 2 * time.Second
	stableTimeout = 20 * time.Second
	testSalt      = "00112233445566778899aabbccddeeff"
)

// centreNames are the data centres of every cluster. Hosts, and the instances of
// a database, are spread over them in this order.
var centreNames = []string{"daejeon-a", "sejong-b", "cheongju-c"}

// cluster is the size of the cluster that install starts.
type cluster struct {
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

// install is the command
//
//	install [hosts=N] [databases=N] [connections=N]
//
// It starts a platform, the instances of each database (a, b, c, then d, e, f)
// and hosts, and applies fleet.yaml. Each instance is reached through a relay, and
// each host reaches the platform through a relay of its own. It sets $URL_1,
// $OPS_1, $PEER_1 and so on for hosts, and $DIRECT_a and so on for instances. It
// returns once the first database accepts writes and its coordinator and primary
// stay the same.
func install(sc *scenario, ts *testscript.TestScript, args []string) (string, error) {
	cl := cluster{
		hosts:       3,
		databases:   1,
		connections: connections,
	}
	numbers := map[string]*int{
		"hosts":       &cl.hosts,
		"databases":   &cl.databases,
		"connections": &cl.connections,
	}
	for _, arg := range args {
		name, text, _ := strings.Cut(arg, "=")
		n, err := strconv.Atoi(text)
		if err != nil || numbers[name] == nil {
			return "", fmt.Errorf("usage: install [hosts=N] [databases=N] [connections=N]")
		}
		*numbers[name] = n
	}
	return cl.start(sc, ts)
}

// start starts the whole cluster and waits until it is stable.
func (cl cluster) start(sc *scenario, ts *testscript.TestScript) (string, error) {
	names := []string{"TABLE"}
	for i := 1; i <= cl.hosts; i++ {
		n := strconv.Itoa(i)
		names = append(names, "CALLER_"+n, "PEER_"+n, "OPS_"+n)
	}
	if _, err := address(sc, ts, names); err != nil {
		return "", err
	}
	if err := sc.start("platform", "standin-platform", []string{"--address", ts.Getenv("TABLE")}); err != nil {
		return "", err
	}
	file, err := cl.startInstances(sc, ts)
	if err != nil {
		return "", err
	}
	if err := os.WriteFile(ts.MkAbs("fleet.yaml"), file, 0o600); err != nil {
		return "", err
	}
	for i := 1; i <= cl.hosts; i++ {
		if err := cl.startHost(sc, ts, i); err != nil {
			return "", err
		}
	}
	ts.Check(ts.Exec("wasabislip", "apply", "--address", ts.Getenv("PEER_1"), "--plain", "fleet.yaml"))
	for i := 1; i <= cl.hosts; i++ {
		eventually(ts, false, []string{"9s", "ready", "get", "http://" + ts.Getenv("OPS_"+strconv.Itoa(i)) + "/readyz"})
	}
	eventually(ts, false, []string{"12s", "ready", "sql", ts.Getenv("URL_1"), "SELECT put('installed', 'ready')"})
	return "", waitStable(ts)
}

// startHost writes a host's settings, starts it and sets its $URL_N.
func (cl cluster) startHost(sc *scenario, ts *testscript.TestScript, i int) error {
	n := strconv.Itoa(i)
	var seeds []string
	for j := 1; j <= cl.hosts; j++ {
		if j != i {
			seeds = append(seeds, strconv.Quote(ts.Getenv("PEER_"+strconv.Itoa(j))))
		}
	}
	platform, err := sc.startRelay("platform-"+n, ts.Getenv("TABLE"))
	if err != nil {
		return err
	}
	text := fmt.Sprintf(
		settingsText, i, centreNames[(i-1)%len(centreNames)],
		ts.Getenv("CALLER_"+n), ts.Getenv("PEER_"+n), ts.Getenv("OPS_"+n),
		strings.Join(seeds, ", "), platform,
	)
	if err := os.WriteFile(ts.MkAbs("host-"+n+".yaml"), []byte(text), 0o600); err != nil {
		return err
	}
	ts.Setenv("URL_"+n, "postgres://orchid-market:orchid-market-secret@"+ts.Getenv("CALLER_"+n)+"/swap-ledger-1?sslmode=disable")
	return sc.start("host-"+n, "wasabislip", []string{"serve", "--settings", "host-" + n + ".yaml"})
}

// waitStable waits until the database's coordinator, primary and term have stayed
// the same for stableTime. Hosts start one after another, and each may take the
// database over from the one before.
func waitStable(ts *testscript.TestScript) error {
	var last term.Term
	since := time.Now()
	for end := since.Add(stableTimeout); time.Now().Before(end); time.Sleep(stableTime / 10) {
		t, err := termRow(ts)
		if err != nil {
			return err
		}
		if t != last {
			last, since = t, time.Now()
		}
		if time.Since(since) >= stableTime {
			return nil
		}
	}
	return fmt.Errorf("the database's coordinator, primary and term did not stay the same for %s", stableTime)
}

// startInstances starts the instances of all databases and returns the
// configuration of the fleet as YAML.
func (cl cluster) startInstances(sc *scenario, ts *testscript.TestScript) ([]byte, error) {
	s := spec.Spec{
		Routes:       routes(),
		DefaultRoute: "settle",
	}
	for _, name := range centreNames {
		s.DataCentres = append(s.DataCentres, centre.Centre{
			Name:   name,
			Region: "kr-central",
		})
	}
	for d := range cl.databases {
		db := group.Database{
			Name:    fmt.Sprintf("swap-ledger-%d", d+1),
			Service: "swap-ledger",
		}
		for i := range centreNames {
			instance, err := cl.startInstance(sc, ts, string(rune('a'+d*len(centreNames)+i)), centreNames[i])
			if err != nil {
				return nil, err
			}
			db.Instances = append(db.Instances, instance)
		}
		s.Databases = append(s.Databases, db)
	}
	s.Workspaces = append(s.Workspaces, workspace("orchid-market", "swap-ledger-1"))
	s.Workspaces = append(s.Workspaces, workspace("salon-lotus", s.Databases[len(s.Databases)-1].Name))
	return yaml.Marshal(s)
}

// startInstance starts an instance and a relay to it, and sets its $DIRECT_NAME.
func (cl cluster) startInstance(sc *scenario, ts *testscript.TestScript, name, dataCentre string) (inst.Instance, error) {
	direct, err := freeAddress()
	if err != nil {
		return inst.Instance{}, err
	}
	err = sc.start(name, "standin-database", []string{
		"--name", name, "--address", direct,
		"--slots", strconv.Itoa(slots), "--connections", strconv.Itoa(cl.connections),
	})
	if err != nil {
		return inst.Instance{}, err
	}
	ts.Setenv("DIRECT_"+name, "postgres://wasabislip@"+direct+"/swap-ledger-1?sslmode=disable")
	relayAddress, err := sc.startRelay(name, direct)
	return inst.Instance{
		Name:        name,
		Address:     relayAddress,
		DataCentre:  dataCentre,
		Slots:       slots,
		Connections: cl.connections,
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

// workspace returns a workspace whose key is its name and "-secret".
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

// startRelay starts a relay to target and returns its address. The bytes that are
// sent towards the target are written to NAME.bytes.
func (sc *scenario) startRelay(name, target string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	file, err := os.OpenFile(filepath.Join(sc.dir, name+".bytes"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return "", err
	}
	relay := netem.New(target)
	go func() {
		_ = relay.Serve(recordingListener{
			Listener: l,
			file:     file,
		})
	}()
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.relays[name] = relay
	return l.Addr().String(), nil
}

// recordingListener is a listener that writes to file what its connections read.
type recordingListener struct {
	net.Listener
	file *os.File
}

func (r recordingListener) Accept() (net.Conn, error) {
	conn, err := r.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return recordingConn{
		Conn: conn,
		file: r.file,
	}, nil
}

type recordingConn struct {
	net.Conn
	file *os.File
}

func (r recordingConn) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	_, _ = r.file.Write(p[:n])
	return n, err
}

// setRelays is the command wire STATE NAME ...: it sets each named relay. STATE is
// cut (both directions), to-target or to-client (cut in this direction only), whole
// (no cut and no delay), or a delay such as 50ms.
func setRelays(sc *scenario, _ *testscript.TestScript, args []string) (string, error) {
	state := args[0]
	cut, delay := "", time.Duration(0)
	switch state {
	case "cut":
		cut = netem.CutBoth
	case "whole":
	case netem.CutToTarget, netem.CutToClient:
		cut = state
	default:
		var err error
		if delay, err = time.ParseDuration(state); err != nil {
			return "", err
		}
	}
	for _, name := range args[1:] {
		sc.mu.Lock()
		relay := sc.relays[name]
		sc.mu.Unlock()
		if relay == nil {
			return "", fmt.Errorf("no relay named %s", name)
		}
		if err := relay.Set(cut, delay); err != nil {
			return "", err
		}
	}
	return "", nil
}
