// Package trans holds the uncommitted writes of one transaction.
package trans

import (
	"slices"
	"strconv"

	"wasabislip.example/wasabislip/internal/standin/entry"
	"wasabislip.example/wasabislip/internal/standin/pgerr"
)

// reader reads the committed data.
type reader interface {
	Get(key string) (string, bool)
	Elements(list string) []string
	Values(keys []string) []string
}

// Transaction reads the committed data overlaid with its own writes, which no
// other transaction sees. The caller holds the locks of the rows that it writes.
type Transaction struct {
	// Entry collects the writes, as one entry of the log.
	Entry entry.Entry
	// Locks are the row locks that the transaction holds.
	Locks map[string]bool

	committed reader
	values    map[string]string
	lists     map[string][]string
}

// New returns a transaction without writes on the committed data.
func New(committed reader) *Transaction {
	return &Transaction{
		Locks:     map[string]bool{},
		committed: committed,
		values:    map[string]string{},
		lists:     map[string][]string{},
	}
}

// HasWrites reports whether the transaction has writes.
func (t *Transaction) HasWrites() bool {
	return len(t.Entry.Writes) > 0
}

// Get returns the value of key.
func (t *Transaction) Get(key string) (string, bool) {
	if v, ok := t.values[key]; ok {
		return v, true
	}
	return t.committed.Get(key)
}

// Put assigns value to key.
func (t *Transaction) Put(key, value string) {
	t.values[key] = value
	t.Entry.Set(key, value)
}

// Number returns the value of key as a number, 0 when absent.
func (t *Transaction) Number(key string) (int64, error) {
	v, ok := t.Get(key)
	if !ok {
		return 0, nil
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return 0, pgerr.New(pgerr.InvalidText, "the value of "+key+" is not a number; use a key that add wrote")
	}
	return n, nil
}

// Values returns the committed values of keys, all as of one moment, without the
// transaction's own writes.
func (t *Transaction) Values(keys []string) []string {
	return t.committed.Values(keys)
}

// Add adds n to the number at key and returns the sum.
func (t *Transaction) Add(key string, n int64) (int64, error) {
	old, err := t.Number(key)
	if err != nil {
		return 0, err
	}
	t.Put(key, strconv.FormatInt(old+n, 10))
	return old + n, nil
}

// Transfer moves n from one account to another and returns the balance left.
func (t *Transaction) Transfer(from, to string, n int64) (int64, error) {
	left, err := t.Number(from)
	if err != nil {
		return 0, err
	}
	if n < 0 || left < n {
		return 0, pgerr.New(pgerr.CheckViolation, "account "+from+" lacks funds; transfer at most its balance")
	}
	if _, err := t.Number(to); err != nil {
		return 0, err
	}
	if _, err := t.Add(from, -n); err != nil {
		return 0, err
	}
	if _, err := t.Add(to, n); err != nil {
		return 0, err
	}
	return t.Number(from)
}

// Elements returns the elements of list.
func (t *Transaction) Elements(list string) []string {
	return slices.Concat(t.committed.Elements(list), t.lists[list])
}

// Append appends element to list and returns the list's length.
func (t *Transaction) Append(list, element string) int {
	t.lists[list] = append(t.lists[list], element)
	t.Entry.Append(list, element)
	return len(t.committed.Elements(list)) + len(t.lists[list])
}
