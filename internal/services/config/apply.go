package config

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"wasabislip.example/wasabislip/internal/models/parse"
	"wasabislip.example/wasabislip/internal/models/record"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

const (
	rowClass = "config"
	rowName  = "current"
	// keptRequests is the number of accepted changes that the row remembers, so
	// that a repeated change is recognised.
	keptRequests = 32
	// readAttempts is how often the row is read to find out the outcome of a
	// write.
	readAttempts = 3
)

// row is the body of the version row.
type row struct {
	Version  uint64    `json:"version"`
	Hash     string    `json:"hash"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	// Requests are the last accepted changes, the newest last.
	Requests []request `json:"requests"`
}

// request is an accepted change.
type request struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

func decodeRow(rec record.Record) (row, error) {
	var r row
	if rec.Version == 0 || len(rec.Body) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(rec.Body, &r); err != nil {
		return r, fmt.Errorf("row %s/%s: %w", rowClass, rowName, err)
	}
	return r, nil
}

// accepted returns the version that the change of a request id became, or 0.
func (r row) accepted(id string) uint64 {
	for _, req := range r.Requests {
		if req.ID == id {
			return req.Version
		}
	}
	return 0
}

// next returns the row after a change.
func (r row) next(version uint64, hash, operator, requestID string) row {
	kept := append([]request{}, r.Requests...)
	kept = append(kept, request{
		ID:      requestID,
		Version: version,
	})
	return row{
		Version:  version,
		Hash:     hash,
		Operator: operator,
		At:       time.Now().UTC(),
		Requests: kept[max(0, len(kept)-keptRequests):],
	}
}

// Apply checks body, makes it the next version, and returns the version. It fails
// unless base is the newest version; base 0 stands for any. Apply is idempotent by
// requestID: a change whose answer was lost can be applied again and takes effect
// once.
//
// The fault is of kind fault.BadRequest, which lists the file's problems, one a line;
// fault.Conflict, which names the change that came first; fault.Platform; or
// fault.OutcomeUnknown.
func (m *Manager) Apply(ctx context.Context, body []byte, base uint64, requestID, operator string) (uint64, error) {
	if requestID == "" {
		return 0, fault.New(fault.BadRequest, "the change has no request id", "send a unique one")
	}
	file := parse.Parse("file", body)
	if file.Spec == nil {
		return 0, fault.New(fault.BadRequest, strings.Join(file.Problems, "\n"), "correct the file")
	}
	rec, r, err := m.readRow(ctx)
	if err != nil {
		return 0, err
	}
	if v := r.accepted(requestID); v > 0 {
		return v, nil
	}
	if base != 0 && base != r.Version {
		return 0, conflict(r)
	}
	hash := parse.Hash(body)
	if err := m.Objects.Put(ctx, hash, body); err != nil {
		return 0, platform("the object store did not take the file", err)
	}
	_, inForce := m.Current()
	next := r.next(max(r.Version, inForce)+1, hash, operator, requestID)
	if err := m.write(ctx, rec, next, requestID); err != nil {
		return 0, err
	}
	m.storeBody(next.Version, hash, body)
	m.observe(next.Version, hash, time.Now())
	return next.Version, nil
}

// readRow reads and decodes the version row.
func (m *Manager) readRow(ctx context.Context) (record.Record, row, error) {
	rec, err := m.Table.Get(ctx, rowClass, rowName)
	if err != nil {
		return rec, row{}, platform("the version row could not be read", err)
	}
	r, err := decodeRow(rec)
	return rec, r, err
}

// write writes the next version row. If the write fails, the request id tells
// whether it took effect.
func (m *Manager) write(ctx context.Context, rec record.Record, next row, requestID string) error {
	body, err := json.Marshal(next)
	if err != nil {
		return err
	}
	changed := record.Record{
		Class:   rowClass,
		Name:    rowName,
		Version: rec.Version + 1,
		Body:    body,
		Request: requestID,
	}
	err = m.Table.Put(ctx, changed, rec.Version)
	if err == nil {
		return nil
	}
	return m.resolveOutcome(ctx, rec.Version, requestID, err)
}

// resolveOutcome reads the row until it tells whether the write with requestID took
// effect, or another write came first.
func (m *Manager) resolveOutcome(ctx context.Context, before uint64, requestID string, cause error) error {
	for i := range readAttempts {
		if i > 0 && !sleep(ctx, fetchRetry) {
			break
		}
		rec, r, err := m.readRow(ctx)
		switch {
		case err != nil:
			continue
		case r.accepted(requestID) > 0:
			return nil
		case rec.Version > before:
			return conflict(r)
		}
	}
	return fault.New(
		fault.OutcomeUnknown,
		"the platform did not say whether the change was accepted",
		"apply again with request id "+requestID,
	).Wrap(cause)
}

func conflict(r row) error {
	return fault.New(
		fault.Conflict,
		fmt.Sprintf("operator %q applied version %d at %s", r.Operator, r.Version, r.At.Format(time.RFC3339)),
		"run plan against the newest version, then apply again",
	)
}

func platform(reason string, err error) error {
	return fault.New(
		fault.Platform,
		reason,
		"apply again with the same request id once the platform answers",
	).Wrap(err).WithRetryAfter(time.Second)
}
