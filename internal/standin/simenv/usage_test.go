package simenv_test

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/internal/standin/bills"
	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// usageHosts is the size of the fleet.
const usageHosts = 9

// windowOf returns the window of a moment.
func windowOf(at time.Time) uint64 {
	return uint64(at.UnixNano() / int64(simenv.ReportWindow))
}

// runUsage runs a script on a fleet that reports usage while callers of both workspaces
// send statements, and then checks the reports of all windows in between.
func runUsage(t *testing.T, script func(is *is.I, env *simenv.Environment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := simenv.New()
		defer env.Close()
		env.ReportsUsage = true
		for i := range usageHosts {
			env.StartHost(i)
		}
		time.Sleep(5 * time.Second)
		first := windowOf(time.Now())
		stop := make(chan struct{})
		var callers sync.WaitGroup
		for i := range 12 {
			callers.Go(func() {
				sendUntil(env, i, stop)
			})
		}
		script(is, env)
		last := windowOf(time.Now()) - 1
		time.Sleep(simenv.UsageDelay + simenv.ReportWindow)
		close(stop)
		callers.Wait()
		checkPromises(is, env)
		is.Equal(env.Bills.Violations(), []string(nil))
		checkReports(t, env, first, last)
	})
}

// sendUntil sends reads, writes and transactions of one workspace to one host after
// the other until stop.
func sendUntil(env *simenv.Environment, caller int, stop chan struct{}) {
	key := []string{"key-one", "key-two"}[caller%2]
	for n := caller; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(60 * time.Millisecond):
		}
		c, _, ok := env.OpenSession(n%usageHosts, []string{"bounded", "own"}[caller/2%2], key)
		if !ok {
			continue
		}
		for i := range 3 {
			switch i {
			case 0:
				c.Do("READ item")
			case 1:
				c.Do(fmt.Sprintf("WRITE item %d", n))
			default:
				c.Do("BEGIN")
				c.Do("READ item")
				c.Do("COMMIT")
			}
			time.Sleep(30 * time.Millisecond)
		}
		c.Close()
	}
}

// countExecutions returns how many requests instances ran in each window for a
// workspace: the statements outside of transactions, and each commit for its
// transaction.
func countExecutions(env *simenv.Environment) map[uint64]map[string]int {
	counts := map[uint64]map[string]int{}
	for _, e := range env.Group.Executions() {
		if e.InTransaction && e.Text != "COMMIT" {
			continue
		}
		w := windowOf(e.At)
		if counts[w] == nil {
			counts[w] = map[string]int{}
		}
		counts[w][e.Workspace]++
	}
	return counts
}

// checkReports checks that each window was reported in time and within the tolerance.
func checkReports(t *testing.T, env *simenv.Environment, first, last uint64) {
	t.Helper()
	ran := countExecutions(env)
	reports := env.Bills.Reports()
	for w := first; w <= last; w++ {
		r, ok := reports[w]
		if !ok {
			t.Errorf("window %d was not reported", w)
			continue
		}
		end := time.Unix(0, int64(w+1)*int64(simenv.ReportWindow))
		t.Logf("window %d: reported %v, ran %v, %s after its end by %s, token %d", w, r.Counts, ran[w], r.At.Sub(end), r.Holder, r.Token)
		if r.At.Sub(end) > simenv.UsageDelay {
			t.Errorf("window %d was reported %s after its end", w, r.At.Sub(end))
		}
		for _, name := range []string{"one", "two"} {
			wanted := float64(ran[w][name])
			if wanted == 0 || math.Abs(float64(r.Counts[name])-wanted) > simenv.UsageTolerance*wanted {
				t.Errorf("window %d, workspace %s: %d requests reported, %.0f ran", w, name, r.Counts[name], wanted)
			}
		}
	}
}

// holderOf returns the index of the host that sent the last report.
func holderOf(env *simenv.Environment) int {
	var i int
	_, _ = fmt.Sscanf(env.Bills.Holder(), "host-%d", &i)
	return i
}

func TestUsageReports(t *testing.T) {
	t.Run("without a fault each window is reported", func(t *testing.T) {
		runUsage(t, func(*is.I, *simenv.Environment) {
			time.Sleep(20 * time.Second)
		})
	})
	// Guards against a window that is lost with its holder.
	t.Run("the holder is killed", func(t *testing.T) {
		runUsage(t, func(is *is.I, env *simenv.Environment) {
			time.Sleep(12 * time.Second)
			killed := holderOf(env)
			env.PowerOff(killed)
			time.Sleep(2 * time.Second)
			env.StartHost(killed)
			time.Sleep(15 * time.Second)
			is.True(holderOf(env) != killed)
		})
	})
	// Guards against counts that end with the process that stops.
	t.Run("the holder stops and starts again", func(t *testing.T) {
		runUsage(t, func(_ *is.I, env *simenv.Environment) {
			time.Sleep(12 * time.Second)
			stopped := holderOf(env)
			<-env.StopHost(stopped)
			env.StartHost(stopped)
			time.Sleep(15 * time.Second)
		})
	})
	// Guards against a report that is sent with other counts after a lost answer.
	t.Run("the platform loses answers", func(t *testing.T) {
		runUsage(t, func(_ *is.I, env *simenv.Environment) {
			n := 0
			env.Bills.SetFault(func() string {
				n++
				return []string{bills.AnswerLost, bills.Busy, ""}[n%3]
			})
			time.Sleep(20 * time.Second)
		})
	})
}

// TestNoUsageReports guards against rows and calls where the reports are off.
func TestNoUsageReports(t *testing.T) {
	runScript(t, 3, func(is *is.I, env *simenv.Environment) {
		time.Sleep(15 * time.Second)
		is.Equal(env.Bills.Calls(), 0)
		is.Equal(env.Store.Get(mirror.Fleet, mirror.UsageKey), []byte(nil))
	})
}
