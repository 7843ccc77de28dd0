package simenv_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/modules/conf"
	"wasabislip.example/wasabislip/internal/standin/simenv"
)

// TestEvenChoice guards against load reports that do not reach the choice, and against
// reads by the setting that change hosts without it.
func TestEvenChoice(t *testing.T) {
	run := func(setting string, check func(is *is.I, env *simenv.Environment, read int)) {
		t.Run(setting, func(t *testing.T) {
			runScript(t, 0, func(is *is.I, env *simenv.Environment) {
				env.InstanceChoice = setting
				const hosts = 6
				for i := range hosts {
					env.StartHost(i)
				}
				time.Sleep(5 * time.Second)
				check(is, env, readAtAll(is, env, hosts))
			})
		})
	}
	run(conf.Even, func(is *is.I, env *simenv.Environment, read int) {
		preferred := sumMetric(env, `wasabislip_choices_total{reason="preferred"}`)
		unknown := sumMetric(env, `wasabislip_choices_total{reason="no-load-known"}`)
		is.True(preferred > 0.9*float64(read)) // all but the first ones know a load
		is.True(preferred+unknown >= float64(read))
		is.Equal(sumMetric(env, "wasabislip_load_reports_dropped_total"), 0.0)
		// Reads stay off the primary i-1.
		replicas := sumMetric(env, `wasabislip_instance_statements_total{instance="i-2"}`) +
			sumMetric(env, `wasabislip_instance_statements_total{instance="i-3"}`)
		is.True(replicas >= float64(read))
		is.True(sumMetric(env, `wasabislip_instance_statements_total{instance="i-1"}`) < 0.1*float64(read))
	})
	run(conf.LeastCost, func(is *is.I, env *simenv.Environment, read int) {
		is.True(read > 0)
		is.Equal(env.Metric(0, `wasabislip_choices_total{reason="preferred"}`), -1.0)
		is.Equal(env.Metric(0, `wasabislip_instance_statements_total{instance="i-2"}`), -1.0)
	})
}

// readAtAll reads at all hosts at once and returns the number of reads.
func readAtAll(is *is.I, env *simenv.Environment, hosts int) int {
	const reads = 50
	var running sync.WaitGroup
	for i := range hosts {
		running.Go(func() {
			c, _, accepted := env.OpenSession(i, "bounded", "key-one")
			is.True(accepted)
			defer c.Close()
			for range reads {
				is.True(c.Do("READ item").OK())
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	running.Wait()
	return hosts * reads
}

// sumMetric returns the sum of a metric over six hosts.
func sumMetric(env *simenv.Environment, name string) float64 {
	sum := 0.0
	for i := range 6 {
		sum += max(0, env.Metric(i, name))
	}
	return sum
}
