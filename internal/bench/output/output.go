// Package output builds the Markdown table of the measured results.
package output

import (
	"fmt"
	"slices"
	"strings"
	"sync"
)

const header = "| measure | user | case | product | baseline | target | met |\n| --- | --- | --- | --- | --- | --- | --- |\n"

// Table holds the rows of the table. The zero value is empty and ready to use.
// It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	rows []string
}

// Add adds a row: a measured value of the product, the value of the baseline and
// whether the target was met. An empty target means that the case has none.
func (s *Table) Add(measure, user, scenario, product, baseline, target string, met bool) {
	metText := "yes"
	switch {
	case target == "":
		target, metText = "-", "-"
	case !met:
		metText = "NO"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = append(s.rows, fmt.Sprintf("| %s | %s | %s | %s | %s | %s | %s |\n", measure, user, scenario, product, baseline, target, metText))
}

// String returns the table in Markdown, with its rows sorted as texts.
func (s *Table) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return header + strings.Join(slices.Sorted(slices.Values(s.rows)), "")
}
