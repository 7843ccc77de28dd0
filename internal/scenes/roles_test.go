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

// databaseName is the database that the scenarios use.
const databaseName = "swap-ledger-1"

// setRoles is the command roles: it sets environment variables to who serves
// swap-ledger-1, from the database's row in the platform's table. $STEWARD is the
// coordinator's host, $OTHER and $THIRD are two other running hosts, each with
// $..._URL, $..._PEER and $..._OPS. $PRIMARY, $REPLICA and $SPARE are the
// instances, each with $..._DIRECT.
func setRoles(sc *scenario, ts *testscript.TestScript, _ []string) (string, error) {
	t, err := termRow(ts)
	if err != nil {
		return "", err
	}
	unused := []string{"OTHER", "THIRD"}
	for _, host := range sc.hosts() {
		role := "STEWARD"
		if host != t.Coordinator {
			if len(unused) == 0 {
				continue
			}
			role, unused = unused[0], unused[1:]
		}
		n := strings.TrimPrefix(host, "host-")
		ts.Setenv(role, host)
		for _, suffix := range []string{"URL", "PEER", "OPS"} {
			ts.Setenv(role+"_"+suffix, ts.Getenv(suffix+"_"+n))
		}
	}
	unused = []string{"REPLICA", "SPARE"}
	for _, instance := range []string{"a", "b", "c"} {
		role := "PRIMARY"
		if instance != t.Primary {
			if len(unused) == 0 {
				return "", fmt.Errorf("no primary is named yet")
			}
			role, unused = unused[0], unused[1:]
		}
		ts.Setenv(role, instance)
		ts.Setenv(role+"_DIRECT", ts.Getenv("DIRECT_"+instance))
	}
	return fmt.Sprintf("steward %s primary %s term %d\n", t.Coordinator, t.Primary, t.Number), nil
}

// termRow reads the database's row in the platform's table.
func termRow(ts *testscript.TestScript) (term.Term, error) {
	rows := table.New(access.Access{
		Endpoint: "http://" + ts.Getenv("TABLE"),
	}, "wasabislip")
	row, err := rows.Get(context.Background(), term.Class, databaseName)
	if err != nil {
		return term.Term{}, err
	}
	return term.Parse(databaseName, row.Body)
}

// hosts returns the names of the hosts that run.
func (sc *scenario) hosts() []string {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	var list []string
	for name, p := range sc.processes {
		select {
		case <-p.exited:
		default:
			if strings.HasPrefix(name, "host-") {
				list = append(list, name)
			}
		}
	}
	slices.Sort(list)
	return list
}

// fetchStatus requests the fleet's state from the host at a peer address.
func fetchStatus(peerAddress string) (*wasabislipv1.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	c := client.New(nil)
	defer c.Close()
	resp, err := c.Admin(peerAddress).Status(ctx, connect.NewRequest(&wasabislipv1.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// listHosts is the command fleet PEER: it prints a line for each host that the host
// at this peer address knows.
func listHosts(_ *scenario, _ *testscript.TestScript, args []string) (string, error) {
	s, err := fetchStatus(args[0])
	if err != nil {
		return "", err
	}
	var b strings.Builder
	for _, h := range s.GetHosts() {
		fmt.Fprintf(&b, "%s version %d %s\n", h.GetHost(), h.GetConfigVersion(), h.GetState())
	}
	return b.String(), nil
}

// checkMinVersion is the command floor VERSION PEER ...: it fails when a host has a
// configuration older than VERSION in force.
func checkMinVersion(_ *scenario, _ *testscript.TestScript, args []string) (string, error) {
	minVersion, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return "", err
	}
	for _, peerAddress := range args[1:] {
		s, err := fetchStatus(peerAddress)
		if err != nil {
			return "", err
		}
		if s.GetVersion() < minVersion {
			return "", fmt.Errorf("the host at %s has version %d", peerAddress, s.GetVersion())
		}
	}
	return "", nil
}
