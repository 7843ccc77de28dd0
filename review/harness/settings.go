package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"
)

// Limits of srv_grey in the sheets of the grown deployments: the share of the requests that
// fail, and for how long.
const (
	greyShare = 0.45
	greyTime  = 6500 * time.Millisecond
)

// settingsSessions is how many clients there are.
const settingsSessions = 6

// stateIdle is the state of a session outside of a transaction.
const stateIdle = "I"

// thinkTime is the pause of a client between two transactions.
const thinkTime = 200 * time.Millisecond

// playSettings checks PINNED: a statement runs with the session values that were
// acknowledged to its client. The disruption is an instance that fails part of the
// requests that it runs, commits among them.
func playSettings(rec *record, dir string, trouble bool) ([]string, error) {
	f, err := newFleet(rec, dir, 3)
	defer f.stop()
	if err != nil {
		return nil, err
	}
	until := time.Now().Add(greyTime)
	if trouble {
		f.group.setFails(greyInstance("i-1", until))
	}
	expected := &expectedValues{
		byID: map[string]map[string]string{},
	}
	var clients sync.WaitGroup
	errs := make(chan error, settingsSessions)
	for n := range settingsSessions {
		clients.Add(1)
		go func() {
			defer clients.Done()
			errs <- runSettingsClient(f, n, until, expected)
		}()
	}
	clients.Wait()
	f.group.setFails(nil)
	for range settingsSessions {
		if err := <-errs; err != nil {
			return nil, err
		}
	}
	var violations []string
	for _, r := range f.group.listRuns() {
		if wanted := expected.of(r.id); !maps.Equal(wanted, r.values) {
			violations = append(violations, fmt.Sprintf("%s ran statement %s with the session values %v; acknowledged to its client were %v", r.instance, r.id, r.values, wanted))
		}
	}
	return violations, nil
}

// greyInstance returns which statements an instance fails: random ones until a time, and
// never more than greyShare of those that it has run.
func greyInstance(id string, until time.Time) func(instance, id, text string) bool {
	rng := rand.New(rand.NewPCG(1, 1))
	ran, failed := 0, 0
	return func(instance, _, _ string) bool {
		if instance != id || !time.Now().Before(until) {
			return false
		}
		ran++
		if rng.Float64() >= greyShare || float64(failed+1) > greyShare*float64(ran) {
			return false
		}
		failed++
		return true
	}
}

// expectedValues holds the session values that were acknowledged to the clients before
// they sent a statement, by the statement's id.
type expectedValues struct {
	mu   sync.Mutex
	byID map[string]map[string]string
}

func (e *expectedValues) note(id string, values map[string]string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.byID[id] = maps.Clone(values)
}

func (e *expectedValues) of(id string) map[string]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byID[id]
}

// runSettingsClient is one client: it sets a session value in each transaction, and
// writes once more after it. It closes its session where PROTOCOL.md says so: after an
// error in response to SET, and if an operation ends in another state than I.
func runSettingsClient(f *fleet, n int, until time.Time, expected *expectedValues) error {
	for round := 0; time.Now().Before(until); round++ {
		if err := runSettingsSession(f, fmt.Sprintf("client-%d-%d", n, round), n, until, expected); err != nil {
			return err
		}
	}
	return nil
}

// runSettingsSession plays transactions in one session until a time, or until the client
// has to close the session.
func runSettingsSession(f *fleet, name string, n int, until time.Time, expected *expectedValues) error {
	c, err := openSession(f.record, name, f.hosts[n%len(f.hosts)].callers)
	if err != nil {
		return err
	}
	defer c.close()
	values := map[string]string{}
	send := func(text string) answer {
		id := c.nextID()
		expected.note(id, values)
		return c.doAs(id, text)
	}
	for turn := 0; time.Now().Before(until); turn++ {
		last := send("BEGIN")
		if last.isSuccess() {
			value := fmt.Sprintf("%d-%d", n, turn)
			if a := send("SET board " + value); !a.isSuccess() {
				return nil
			}
			values["board"] = value
			end := "COMMIT"
			if a := send(fmt.Sprintf("WRITE clock-%d out", n)); !a.isSuccess() {
				end = "ROLLBACK"
			}
			last = send(end)
			if end == "COMMIT" && last.state == stateIdle {
				last = send(fmt.Sprintf("WRITE fee-%d %d", n, turn))
				time.Sleep(thinkTime)
			}
		}
		if last.lost {
			return fmt.Errorf("a session was lost")
		}
		if last.state != stateIdle {
			return nil
		}
	}
	return nil
}
