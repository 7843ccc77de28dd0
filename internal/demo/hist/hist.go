// Package hist records the writes of one simulated user of the demonstration and
// their outcomes, and checks them against the content of the database.
package hist

import (
	"fmt"
	"strings"
)

// History holds one user's appends to its list. The values begin with the user's
// name. Only one goroutine may use it.
type History struct {
	// User is the user's name.
	User string

	lastNumber int
	acked      []string
	unknown    map[string]bool
}

// NextValue returns the next value to append.
func (h *History) NextValue() string {
	h.lastNumber++
	return fmt.Sprintf("%s.%d", h.User, h.lastNumber)
}

// RecordAck records that the append of value was acknowledged.
func (h *History) RecordAck(value string) {
	h.acked = append(h.acked, value)
}

// RecordUnknown records that the outcome of the append of value is unknown.
func (h *History) RecordUnknown(value string) {
	if h.unknown == nil {
		h.unknown = map[string]bool{}
	}
	h.unknown[value] = true
}

// Count returns how many appends were acknowledged.
func (h *History) Count() int {
	return len(h.acked)
}

// Check compares the user's list, values joined by commas, with the history.
// Every acknowledged value must be there exactly once. A value of unknown
// outcome may be there once. No other value may be there.
func (h *History) Check(list string) error {
	counts := map[string]int{}
	for value := range strings.SplitSeq(list, ",") {
		if value == "" {
			continue
		}
		if !strings.HasPrefix(value, h.User+".") {
			return fmt.Errorf("the list of %s has another user's value %s", h.User, value)
		}
		counts[value]++
	}
	for value, n := range counts {
		if n > 1 {
			return fmt.Errorf("%s's write %s was applied twice", h.User, value)
		}
	}
	for _, value := range h.acked {
		if counts[value] == 0 {
			return fmt.Errorf("%s's acknowledged write %s was lost", h.User, value)
		}
		delete(counts, value)
	}
	for value := range counts {
		if !h.unknown[value] {
			return fmt.Errorf("%s's write %s was reported as not run but was applied", h.User, value)
		}
	}
	return nil
}
