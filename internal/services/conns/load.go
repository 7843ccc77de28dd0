package conns

import (
	"math"
	"time"

	"wasabislip.example/wasabislip/internal/models/load"
)

const (
	// serviceSmoothing is the weight of a new measurement in the moving average of the
	// service time: some seconds of statements, since shares follow it (package choice).
	serviceSmoothing = 0.02
	// rateTime is the time over which completions a second are averaged.
	rateTime = time.Second
)

// loadMeter measures the statements that an instance ran for one host.
type loadMeter struct {
	service time.Duration
	rate    float64 // completions a second, as of last
	last    time.Time
}

// record records a statement that the instance ran.
func (m *loadMeter) record(took time.Duration, now time.Time) {
	if m.service == 0 {
		m.service = took
	}
	m.service += time.Duration(float64(took-m.service) * serviceSmoothing)
	m.rate = m.rateAt(now) + 1/rateTime.Seconds()
	m.last = now
}

func (m *loadMeter) rateAt(now time.Time) float64 {
	return m.rate * math.Exp(-now.Sub(m.last).Seconds()/rateTime.Seconds())
}

// ReportLoad has the pool measure the load that it puts on the instance.
func (p *Pool) ReportLoad() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.load = &loadMeter{}
}

// RecordService records how long the instance took for a statement that it ran.
func (p *Pool) RecordService(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.load != nil {
		p.load.record(took, time.Now())
	}
}

// Load returns the load that this host puts on the instance; nil if it is not measured.
func (p *Pool) Load() *load.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.load == nil {
		return nil
	}
	return &load.Report{
		Instance:           p.server.ID,
		Running:            max(0, p.running),
		Waiting:            len(p.waiting),
		Service:            p.load.service,
		CompletedPerSecond: int(math.Round(p.load.rateAt(time.Now()))),
		StartedMs:          p.server.StartedMs,
	}
}
