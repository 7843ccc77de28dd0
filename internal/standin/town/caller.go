package town

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wasabislip.example/wasabislip/internal/standin/patron"
)

// callerIP is where callers come from.
const callerIP = "10.9.0.1"

// Ready reports whether a host tells the balancer that it is ready.
func (t *Town) Ready(host int) bool {
	r, err := t.client().Get("http://" + IP(host) + readyPort + "/-/ready")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// Metric returns one of a host's metrics; -1 when it can't be read.
func (t *Town) Metric(host int, name string) float64 {
	r, err := t.client().Get("http://" + IP(host) + metricsPort + "/metrics")
	if err != nil {
		return -1
	}
	defer r.Body.Close()
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		text, ok := strings.CutPrefix(lines.Text(), name+" ")
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

func (t *Town) client() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:       t.Net.Dialer(callerIP),
			DisableKeepAlives: true,
		},
		Timeout: time.Second,
	}
}

// Call opens a session with a host; ok tells whether it was accepted, and code
// why not.
func (t *Town) Call(host int, database, key string) (c *patron.Patron, code string, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	conn, err := t.Net.Dialer(callerIP)(ctx, "tcp", IP(host)+callerPort)
	if err != nil {
		return nil, "", false
	}
	c, a := patron.Open(conn, database, key, 0)
	return c, a.Code, a.OK()
}
