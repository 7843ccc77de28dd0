package dbview

import (
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"wasabislip.example/wasabislip/internal/models/choice"
	"wasabislip.example/wasabislip/internal/models/load"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/server"
	"wasabislip.example/wasabislip/internal/modules/uptime"
)

const (
	// reportMaxAge is how long a load report is kept. It does not count from that age
	// (see package choice).
	reportMaxAge = 2 * time.Second
	// errorsTime is the time in which the share of errors of an instance that gets no
	// statements falls to 1/e, so that it is tried again.
	errorsTime = time.Second
	// errorSmoothing is the weight of one answer in the share of errors.
	errorSmoothing = 0.1
	// dropLogInterval is the least time between two log lines about implausible reports.
	dropLogInterval = 10 * time.Second
)

// choiceMeter counts choices and the load reports that were dropped.
type choiceMeter interface {
	RecordChoice(reason string)
	RecordDroppedLoad()
}

// even is what the even choice of an instance needs beyond the view; see package
// choice.
type even struct {
	chooser choice.Chooser
	// holders returns how many hosts hold connections to an instance.
	holders func(s server.Server) int
	meter   choiceMeter
	dropLog rate.Sometimes
}

// report is a load report and when the request was sent whose answer brought it.
type report struct {
	load.Report
	asked time.Duration
}

// errorShare is the moving share of errors among an instance's answers.
type errorShare struct {
	share float64
	last  time.Duration
}

func (e *errorShare) at(now time.Duration) float64 {
	return e.share * math.Exp(-(now-e.last).Seconds()/errorsTime.Seconds())
}

// ChooseEvenly has reads divided evenly among the instances, by load reports. random
// returns random numbers from 0 to 1, holders how many hosts hold connections to an
// instance. It is called before the view is used.
func (v *View) ChooseEvenly(random func() float64, holders func(s server.Server) int, m choiceMeter) {
	v.even = &even{
		chooser: choice.Chooser{
			Random: random,
		},
		holders: holders,
		meter:   m,
		dropLog: rate.Sometimes{
			Interval: dropLogInterval,
		},
	}
}

// RecordLoad records a load report of an instance that an answer brought to a request
// sent at asked. An implausible report is dropped.
func (v *View) RecordLoad(id string, r *load.Report, asked time.Duration) {
	if v.even == nil || r == nil {
		return
	}
	if err := r.Check(id); err != nil {
		v.even.meter.RecordDroppedLoad()
		v.even.dropLog.Do(func() {
			klog.ErrorS(err, "a load report is dropped", "service", v.service, "instance", id, "host", r.Host)
		})
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	in := v.instance(id)
	now := uptime.Now()
	for _, other := range in.reports {
		if other.Host == r.Host && other.asked > asked {
			return
		}
	}
	in.reports = slices.DeleteFunc(in.reports, func(other report) bool {
		return other.Host == r.Host || now-other.asked >= reportMaxAge
	})
	in.reports = append(in.reports, report{
		Report: *r,
		asked:  asked,
	})
}

// RecordOutcome records the outcome of a statement at an instance. An instance that
// quickly returns errors looks idle without being able to take load.
func (v *View) RecordOutcome(id string, outcome int) {
	if v.even == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	now := uptime.Now()
	e := &v.instance(id).errors
	e.share = e.at(now) * (1 - errorSmoothing)
	e.last = now
	if outcome != reply.Done && outcome != reply.Lagging {
		e.share += errorSmoothing
	}
}

// countHolders returns how many hosts hold connections to each instance. The caller
// does not hold mu, since the fleet's view has locks of its own.
func (v *View) countHolders() map[string]int {
	holders := map[string]int{}
	for _, s := range v.tables.Servers(v.service) {
		holders[s.ID] = v.even.holders(s)
	}
	return holders
}

// chooseEvenly orders the instances that may run a read, and returns the reason.
func (v *View) chooseEvenly(list []candidate, holders map[string]int, now time.Duration) ([]server.Server, string) {
	candidates := make([]choice.Candidate, 0, len(list))
	for _, c := range list {
		in := v.instance(c.server.ID)
		reports := make([]choice.Report, 0, len(in.reports))
		for _, r := range in.reports {
			reports = append(reports, choice.Report{
				Report: r.Report,
				Age:    now - r.asked,
			})
		}
		candidates = append(candidates, choice.Candidate{
			ID:         c.server.ID,
			Slots:      c.server.Slots,
			Local:      c.server.DataCentre == v.centre,
			Primary:    c.primary,
			Failing:    in.failing,
			Cold:       c.server.ColdFor > 0,
			Errors:     in.errors.at(now),
			StartedMs:  c.server.StartedMs,
			InFlight:   in.running,
			Latency:    in.latency,
			LatencyAge: now - in.measured,
			Hosts:      holders[c.server.ID],
			Reports:    reports,
		})
	}
	order, reason := v.even.chooser.Order(candidates)
	servers := make([]server.Server, 0, len(list))
	for _, i := range order {
		servers = append(servers, list[i].server)
	}
	v.even.meter.RecordChoice(reason)
	return servers, reason
}

// Sent returns how many statements this host sent to each instance of the service that
// is registered now.
func (v *View) Sent() map[string]int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	sent := map[string]int64{}
	for _, s := range v.tables.Servers(v.service) {
		sent[s.ID] = v.instance(s.ID).sent
	}
	return sent
}
