package simenv

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wasabislip.example/wasabislip/internal/standin/simcli"
)

// callerIP is the IP address of all callers.
const callerIP = "10.9.0.1"

// Ready reports whether a host's readiness endpoint, which the load balancer
// polls, answers that it is ready.
func (e *Environment) Ready(host int) bool {
	r, err := e.client().Get("http://" + HostIP(host) + readyPort + "/-/ready")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// Metric returns the value of one of a host's metrics, or -1 when it can't be
// read.
func (e *Environment) Metric(host int, name string) float64 {
	r, err := e.client().Get("http://" + HostIP(host) + metricsPort + "/metrics")
	if err != nil {
		return -1
	}
	defer r.Body.Close()
	scanner := bufio.NewScanner(r.Body)
	for scanner.Scan() {
		text, ok := strings.CutPrefix(scanner.Text(), name+" ")
		if !ok {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err == nil {
			return value
		}
	}
	return -1
}

func (e *Environment) client() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:       e.Net.Dialer(callerIP),
			DisableKeepAlives: true,
		},
		Timeout: time.Second,
	}
}

// OpenSession opens a session with a host. It returns ok when the host accepted
// the session, and otherwise the code of the host's error, empty when the host
// was not reached.
func (e *Environment) OpenSession(host int, database, key string) (c *simcli.Client, code string, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	conn, err := e.Net.Dialer(callerIP)(ctx, "tcp", HostIP(host)+callerPort)
	if err != nil {
		return nil, "", false
	}
	c, a := simcli.Open(conn, database, key, 0)
	c.Acknowledged = e.Group.Acknowledge
	return c, a.Code, a.OK()
}
