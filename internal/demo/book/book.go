// Package book keeps what one member of the demonstration sent and was told,
// and compares it with what the database holds.
package book

import (
	"fmt"
	"strings"
)

// Book is the record of one member, whose values begin with its name. It is
// used by one goroutine.
type Book struct {
	// Member names the member.
	Member string

	lastNumber   int
	acked   []string
	unknown map[string]bool
}

// Next returns the next value to append.
func (b *Book) Next() string {
	b.lastNumber++
	return fmt.Sprintf("%s.%d", b.Member, b.lastNumber)
}

// Acked records that the append of value was acknowledged.
func (b *Book) Acked(value string) {
	b.acked = append(b.acked, value)
}

// Unknown records that nobody could tell whether value was appended.
func (b *Book) Unknown(value string) {
	if b.unknown == nil {
		b.unknown = map[string]bool{}
	}
	b.unknown[value] = true
}

// Count returns how many appends were acknowledged.
func (b *Book) Count() int {
	return len(b.acked)
}

// Check compares the member's list, values joined by commas, with the record.
func (b *Book) Check(list string) error {
	seen := map[string]int{}
	for value := range strings.SplitSeq(list, ",") {
		if value == "" {
			continue
		}
		if !strings.HasPrefix(value, b.Member+".") {
			return fmt.Errorf("%s was answered with another's value %s", b.Member, value)
		}
		seen[value]++
	}
	for value, n := range seen {
		if n > 1 {
			return fmt.Errorf("%s's write %s was doubled", b.Member, value)
		}
	}
	for _, value := range b.acked {
		if seen[value] == 0 {
			return fmt.Errorf("%s's acknowledged write %s was lost", b.Member, value)
		}
		delete(seen, value)
	}
	for value := range seen {
		if !b.unknown[value] {
			return fmt.Errorf("%s's write %s was refused as not run and did run", b.Member, value)
		}
	}
	return nil
}
