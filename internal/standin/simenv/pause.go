package simenv

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"wasabislip.example/wasabislip/internal/models/leader"
	"wasabislip.example/wasabislip/internal/models/tuple"
	"wasabislip.example/wasabislip/internal/services/mirror"
	"wasabislip.example/wasabislip/platform/order"
	"wasabislip.example/wasabislip/platform/rows"
)

// Steps of a host that replaces a primary: the records that it writes, and the order.
const (
	StepIntent = "intent"
	StepChoice = "choice"
	StepSettle = "settle"
	StepOrder  = "order"
)

// StepReport is the step of a host that sends a usage report.
const StepReport = "report"

// pausingStore is a host's client of the store. It pauses before and after each write
// of a leader record, "before STEP" and "after STEP", and after the answer to the read
// that follows it, "read STEP".
type pausingStore struct {
	*rows.Client

	env  *Environment
	host int

	mu sync.Mutex
	// written is the step of the last record whose read has not been seen yet.
	written string
}

// Write writes to the store.
func (s *pausingStore) Write(ctx context.Context, expected, puts, deletes []tuple.Tuple) (uint64, error) {
	step := recordStep(puts)
	if step == "" {
		return s.Client.Write(ctx, expected, puts, deletes)
	}
	s.env.pause(s.host, "before "+step)
	version, err := s.Client.Write(ctx, expected, puts, deletes)
	s.mu.Lock()
	s.written = step
	s.mu.Unlock()
	s.env.pause(s.host, "after "+step)
	return version, err
}

// Read reads a table of the store.
func (s *pausingStore) Read(ctx context.Context, table string) ([]tuple.Tuple, uint64, error) {
	list, version, err := s.Client.Read(ctx, table)
	if table != mirror.Fleet {
		return list, version, err
	}
	s.mu.Lock()
	step := s.written
	s.written = ""
	s.mu.Unlock()
	if step != "" {
		s.env.pause(s.host, "read "+step)
	}
	return list, version, err
}

// recordStep returns the step of a host that writes these rows; empty if there is no
// leader record among them.
func recordStep(puts []tuple.Tuple) string {
	for _, row := range puts {
		if !strings.HasPrefix(row.Key, "leader-") {
			continue
		}
		var record leader.Leader
		if json.Unmarshal(row.Value, &record) != nil {
			return ""
		}
		switch {
		case record.Phase == leader.Settled:
			return StepSettle
		case record.Primary != "":
			return StepChoice
		}
		return StepIntent
	}
	return ""
}

// pausingPromoter is a host's client of the promotion API. It pauses before and after
// an order.
type pausingPromoter struct {
	*order.Client

	env  *Environment
	host int
}

// Promote orders a promotion.
func (p *pausingPromoter) Promote(ctx context.Context, service, id, holder string, token uint64) error {
	p.env.pause(p.host, "before "+StepOrder)
	err := p.Client.Promote(ctx, service, id, holder, token)
	p.env.pause(p.host, "after "+StepOrder)
	return err
}

// Report sends a usage report. It pauses before and after that.
func (p *pausingPromoter) Report(ctx context.Context, window uint64, counts map[string]uint64, holder string, token uint64, until time.Duration) error {
	p.env.pause(p.host, "before "+StepReport)
	err := p.Client.Report(ctx, window, counts, holder, token, until)
	p.env.pause(p.host, "after "+StepReport)
	return err
}

func (e *Environment) pause(host int, step string) {
	if e.Pause != nil {
		e.Pause(host, step)
	}
}
