package simenv_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/simenv"
	"wasabislip.example/wasabislip/platform/decode"
)

// oddEntry returns an entry of the instances' table that is in order but for some fields,
// given as a name and a JSON value each.
func oddEntry(fields ...string) []byte {
	values := map[string]string{
		"service":             `"ledger"`,
		"address":             `"10.128.0.9:8080"`,
		"zone":                `"a"`,
		"version":             `"v1"`,
		"capacity":            `3`,
		"state":               `"ready"`,
		"warmup_remaining_ms": `0`,
		"db_role":             `"replica"`,
		"sequence":            `4`,
		"born":                `1700000000000`,
	}
	for i := 0; i < len(fields); i += 2 {
		values[fields[i]] = fields[i+1]
	}
	var list []string
	for name, value := range values {
		list = append(list, fmt.Sprintf("%q:%s", name, value))
	}
	return []byte("{" + strings.Join(list, ",") + "}")
}

// nested returns a JSON array that is nested to a depth.
func nested(depth int) string {
	return strings.Repeat("[", depth) + strings.Repeat("]", depth)
}

// TestOddEntries guards against hosts that end, or no longer follow the instances, when
// another writer has left an entry among those of the instances, and against taking it for an
// instance: one that never answers stops failovers where replicas are synchronous.
func TestOddEntries(t *testing.T) {
	play := func(what, id string, entry []byte) {
		t.Run(what, func(t *testing.T) {
			runScript(t, sendingHosts, func(is *is.I, env *simenv.Environment) {
				requireSyncReplica(env)
				env.Store.PutRaw(decode.ServerTable, id, entry)
				time.Sleep(2 * time.Second)
				until := time.Now().Add(2 * time.Second)
				_, failed, _ := sendStatements(env, "own", "READ item", until)
				is.Equal(failed, 0)
				// The list is followed: a replica that leaves gets no work.
				left := announceLeave(is, env, "i-3")
				_, _, _ = sendStatements(env, "bounded", "READ item", left.Add(4*time.Second))
				is.Equal(countLate(env, "i-3", left.Add(2*time.Second)), 0)
				env.StopLeaving("i-3")
				time.Sleep(3 * time.Second)
				env.CrashInstance("i-1")
				is.True(writeUntil(is, env, 0, changeLimit) < changeLimit)
				for i := range sendingHosts {
					is.Equal(env.Metric(i, "wasabislip_panics_recovered"), float64(0))
				}
			})
		})
	}
	play("an entry in order for no service", "i-9", oddEntry("service", `"other"`))
	play("a service that is nested very deeply", "i-9", oddEntry("service", nested(30_000)))
	play("an unknown field that is nested very deeply", "i-9", oddEntry("more", nested(30_000)))
	play("an unknown field that is nested less deeply than the parser allows", "i-9", oddEntry("more", nested(9_000)))
	play("a capacity out of the range of numbers", "i-9", oddEntry("capacity", "1e999"))
	play("a capacity that is too large", "i-9", oddEntry("capacity", "1e300"))
	play("a negative capacity", "i-9", oddEntry("capacity", "-1e300"))
	play("a sequence out of the range of numbers", "i-9", oddEntry("sequence", "1e999"))
	play("a time of start that is too large", "i-9", oddEntry("born", "1e300"))
	play("a warm-up that is too long", "i-9", oddEntry("warmup_remaining_ms", "1e300"))
	play("a port out of range", "i-9", oddEntry("address", `"10.128.0.9:99999"`))
	play("a port out of range of a primary", "i-9", oddEntry("address", `"10.128.0.9:99999"`, "db_role", `"primary"`))
	play("a negative port", "i-9", oddEntry("address", `"10.128.0.9:-1"`))
	play("port 0", "i-9", oddEntry("address", `"10.128.0.9:0"`))
	play("no port", "i-9", oddEntry("address", `"10.128.0.9"`))
	play("an id with a line break", "i-9\r\nQUERY - STATUS", oddEntry())
	play("bytes that are no text", "i-9", []byte{0xff, 0xfe, 0x00})
}
