package scenes_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/rogpeppe/go-internal/testscript"

	wasabislipv1 "wasabislip.example/wasabislip/internal/gen/wasabislip/v1"
	"wasabislip.example/wasabislip/internal/models/term"
	"wasabislip.example/wasabislip/internal/modules/access"
	"wasabislip.example/wasabislip/internal/modules/client"
	"wasabislip.example/wasabislip/internal/modules/table"
)

const statusTimeout = 5 * time.Second

// ledger is the database that the scenarios use.
const ledger = "swap-ledger-1"

// roles sets who serves swap-ledger-1, from its row in the platform's table:
// $STEWARD, and $OTHER and $THIRD among the hosts that run, each with $..._URL,
// $..._PEER and $..._OPS; $PRIMARY, and $REPLICA and $SPARE among the
// instances, each with $..._DIRECT.
func roles(c *cast, ts *testscript.TestScript, _ []string) (string, error) {
	t, err := termRow(ts)
	if err != nil {
		return "", err
	}
	rest := []string{"OTHER", "THIRD"}
	for _, host := range c.hosts() {
		as := "STEWARD"
		if host != t.Coordinator {
			if len(rest) == 0 {
				continue
			}
			as, rest = rest[0], rest[1:]
		}
		n := strings.TrimPrefix(host, "host-")
		ts.Setenv(as, host)
		for _, what := range []string{"URL", "PEER", "OPS"} {
			ts.Setenv(as+"_"+what, ts.Getenv(what+"_"+n))
		}
	}
	rest = []string{"REPLICA", "SPARE"}
	for _, instance := range []string{"a", "b", "c"} {
		as := "PRIMARY"
		if instance != t.Primary {
			if len(rest) == 0 {
				return "", fmt.Errorf("no primary is named yet")
			}
			as, rest = rest[0], rest[1:]
		}
		ts.Setenv(as, instance)
		ts.Setenv(as+"_DIRECT", ts.Getenv("DIRECT_"+instance))
	}
	return fmt.Sprintf("steward %s primary %s term %d\n", t.Coordinator, t.Primary, t.Number), nil
}

// termRow reads the database's row in the platform's table.
func termRow(ts *testscript.TestScript) (term.Term, error) {
	rows := table.New(access.Access{
		Endpoint: "http://" + ts.Getenv("TABLE"),
	}, "wasabislip")
	row, err := rows.Get(context.Background(), term.Class, ledger)
	if err != nil {
		return term.Term{}, err
	}
	return term.Parse(ledger, row.Body)
}

// hosts returns the names of the hosts that run.
func (c *cast) hosts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for name, a := range c.actors {
		select {
		case <-a.exited:
		default:
			if strings.HasPrefix(name, "host-") {
				list = append(list, name)
			}
		}
	}
	slices.Sort(list)
	return list
}

// status asks the host at that peer address for the fleet's state.
func status(at string) (*wasabislipv1.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	c := client.New(nil)
	defer c.Close()
	resp, err := c.Admin(at).Status(ctx, connect.NewRequest(&wasabislipv1.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// fleet PEER prints a line for each host that the host knows.
func fleet(_ *cast, _ *testscript.TestScript, args []string) (string, error) {
	s, err := status(args[0])
	if err != nil {
		return "", err
	}
	var b strings.Builder
	for _, h := range s.GetHosts() {
		fmt.Fprintf(&b, "%s version %d %s\n", h.GetHost(), h.GetConfigVersion(), h.GetState())
	}
	return b.String(), nil
}

// floor VERSION PEER ... fails when a host has an older version in force.
func floor(_ *cast, _ *testscript.TestScript, args []string) (string, error) {
	least, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return "", err
	}
	for _, at := range args[1:] {
		s, err := status(at)
		if err != nil {
			return "", err
		}
		if s.GetVersion() < least {
			return "", fmt.Errorf("the host at %s has version %d", at, s.GetVersion())
		}
	}
	return "", nil
}
