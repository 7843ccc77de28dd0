// Package usage holds the usage reports: how many requests each workspace ran in each
// window, who sends them, and what hosts tell each other of them.
package usage

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"wasabislip.example/wasabislip/pkg/model/fault"
)

const (
	// KeptWindows is how many windows' counts and contents are kept, after which an
	// outage costs reports.
	KeptWindows = 12
	// clockSlack is how far ahead another host's window may be: hosts estimate the
	// true time with an error of some round trips.
	clockSlack = 1
	// maxCount bounds the requests of one workspace in one window: a design-size
	// system runs 1.7 million statements in 5 s.
	maxCount = 1 << 32
	// maxWorkspaces bounds the workspaces in one window of a message, and maxName the
	// length of their names.
	maxWorkspaces = 20_000
	maxName       = 256
	// silenceMargin is added to the lease before a holder is replaced. It covers
	// clocks that run at different speeds.
	silenceMargin = 500 * time.Millisecond
)

// Params are the deployment's parameters of the reports.
type Params struct {
	// Window is the length of a window.
	Window time.Duration
	// Delay is how long after a window's end its report may be sent.
	Delay time.Duration
	// Lease is within what time holders must not act in the order A, B, A.
	Lease time.Duration
	// Tolerance is the fraction by which a count may differ from the true one.
	Tolerance float64
}

// At returns the window of a moment.
func (p Params) At(t time.Time) uint64 {
	return uint64(max(0, t.UnixNano()) / int64(p.Window))
}

// End returns the end of a window.
func (p Params) End(window uint64) time.Time {
	return time.Unix(0, int64(window+1)*int64(p.Window))
}

// CollectDelay is how long after a window's end its content is final if all live hosts
// have reported it, and MaxCollectDelay if some have not: 3 and 4 s of 10.
func (p Params) CollectDelay() time.Duration {
	return p.Delay * 3 / 10
}

// MaxCollectDelay is described at CollectDelay.
func (p Params) MaxCollectDelay() time.Duration {
	return p.Delay * 4 / 10
}

// TakeoverDelay is how long after a window's end its content may be missing before the
// first host in rank replaces the holder, and RankDelay how much longer each further
// host waits: 5 and 1.5 s of 10. The third in rank still reports in time.
func (p Params) TakeoverDelay() time.Duration {
	return p.Delay / 2
}

// RankDelay is described at TakeoverDelay.
func (p Params) RankDelay() time.Duration {
	return p.Delay * 15 / 100
}

// SendTime is how long after the start of its last successful write a holder may send.
// What is left of the lease is for a call that is on its way.
func (p Params) SendTime() time.Duration {
	return p.Lease * 2 / 3
}

// Silence is how long the row must have been unchanged before another host takes over.
func (p Params) Silence() time.Duration {
	return p.Lease + silenceMargin
}

// Record is the row of the holder, the host that reports.
type Record struct {
	// Token is the fencing token, which grows with each change of holder.
	Token uint64 `json:"token"`
	// Holder is the host, empty if it has released the row, and Incarnation its
	// process.
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	// Former are the holders that may have acted within the lease before Holder, or
	// before the release.
	Former []string `json:"former,omitempty"`
	// Final is the last window whose content is final.
	Final uint64 `json:"final"`
}

// WasHolder reports whether a host may have acted lately, before the present holder.
func (r Record) WasHolder(name string) bool {
	return slices.Contains(r.Former, name)
}

// Content is how many requests each workspace ran in a window.
type Content struct {
	Window uint64            `json:"window_id"`
	Counts map[string]uint64 `json:"counts"`
}

// Message is what a host counted, by window. Counts only grow.
type Message struct {
	// From is the host, Incarnation its process.
	From        string
	Incarnation uint64
	Windows     []Content
}

// Size returns about how many bytes the message takes.
func (m *Message) Size() int {
	const fixed, each = 40, 8
	n := fixed
	for _, c := range m.Windows {
		for name := range c.Counts {
			n += len(name) + each
		}
	}
	return n
}

// Check returns a fault that names the first invalid field; current is the present
// window.
func (m *Message) Check(current uint64) error {
	switch {
	case m.From == "" || len(m.From) > maxName:
		return malformed("from", "name the host that counted")
	case m.Incarnation == 0:
		return malformed("incarnation", "give the start of the process that counted")
	case len(m.Windows) > KeptWindows+clockSlack+1:
		return malformed("windows", fmt.Sprintf("send the last %d at most", KeptWindows))
	}
	for _, c := range m.Windows {
		switch {
		case c.Window > current+clockSlack:
			return malformed("windows.window", "compare the clocks of both hosts: the window has not begun here")
		case len(c.Counts) > maxWorkspaces:
			return malformed("windows.counts", fmt.Sprintf("send %d workspaces at most", maxWorkspaces))
		}
		for name, n := range c.Counts {
			if name == "" || len(name) > maxName || n > maxCount {
				return malformed("windows.counts", "send a workspace's name and a count that a window can hold")
			}
		}
	}
	return nil
}

func malformed(field, remedy string) error {
	return fault.New(
		fault.BadRequest,
		"the field usage."+field+" of a message is invalid",
		remedy,
	)
}

// pending is the JSON value of the row of the contents to deliver.
type pending struct {
	Windows []Content `json:"windows"`
}

// EncodePending returns the value of the row of the contents to deliver.
func EncodePending(list []Content) ([]byte, error) {
	value, err := json.Marshal(pending{
		Windows: list,
	})
	if err != nil {
		return nil, fmt.Errorf("encode the pending usage reports: %w", err)
	}
	return value, nil
}

// DecodePending returns the contents in a row's value; none without a value.
func DecodePending(value []byte) ([]Content, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var p pending
	if err := json.Unmarshal(value, &p); err != nil {
		return nil, fmt.Errorf("decode the pending usage reports: %w", err)
	}
	return p.Windows, nil
}

// Encode returns the value of the holder's row.
func (r Record) Encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode the record of the usage reports: %w", err)
	}
	return value, nil
}

// DecodeRecord returns the record in a row's value.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("decode the record of the usage reports: %w", err)
	}
	return r, nil
}
