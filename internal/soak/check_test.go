package soak

import (
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/standin/linedb"
)

// Guards against checks of transactions that pass whatever ran. The faults that they
// find are rare in real runs.
func TestBlocks(t *testing.T) {
	own := &transaction{
		ids: []string{"c1-2", "c1-3", "c1-4"},
	}
	other := &transaction{
		ids: []string{"c2-2"},
	}
	first := linedb.Execution{
		ID:          "c1-2",
		Transaction: 7,
	}
	for name, c := range map[string]struct {
		next linedb.Execution
		tx   *transaction
		want string
	}{
		"the next statement of its transaction": {
			next: linedb.Execution{
				ID:          "c1-3",
				Transaction: 7,
			},
			tx: own,
		},
		"a statement on its own": {
			next: linedb.Execution{
				ID: "c1-5",
			},
		},
		"a statement on its own, inside a transaction": {
			next: linedb.Execution{
				ID:          "c3-1",
				Transaction: 7,
			},
			want: "sent outside of a transaction, ran inside one",
		},
		"a statement outside of its transaction": {
			next: linedb.Execution{
				ID: "c1-3",
			},
			tx:   own,
			want: "sent in a transaction, ran outside",
		},
		"a statement of another caller's transaction": {
			next: linedb.Execution{
				ID:          "c2-2",
				Transaction: 7,
			},
			tx:   other,
			want: "ran in the transaction of another caller",
		},
		"one transaction as two": {
			next: linedb.Execution{
				ID:          "c1-3",
				Transaction: 8,
			},
			tx:   own,
			want: "ran in another transaction than those before it",
		},
		"a transaction of another mode": {
			next: linedb.Execution{
				ID:          "c1-3",
				Transaction: 7,
				ReadOnly:    true,
			},
			tx:   own,
			want: "ran in a transaction whose mode read-only is true, not false",
		},
		"a statement twice": {
			next: first,
			tx:   own,
			want: "ran twice, or after a later one of its transaction",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBlocks()
			is.Equal(b.add(first, &statement{tx: own}), "")
			is.Equal(b.add(c.next, &statement{tx: c.tx}), c.want)
		})
	}
}

// Guards against checks of commits that pass whatever was committed.
func TestStatementCommits(t *testing.T) {
	tx := &transaction{
		ids:    []string{"c1-2", "c1-3"},
		writes: []string{"a=1", "b=2"},
		commit: "c1-3",
	}
	for name, c := range map[string]struct {
		id   string
		st   *statement
		want []string
	}{
		"a write on its own": {
			id: "c1-1",
			st: &statement{
				write: "a=0",
			},
			want: []string{"a=0"},
		},
		"a write in a transaction": {
			id: "c1-2",
			st: &statement{
				write: "a=1",
				tx:    tx,
			},
		},
		"the commit of a transaction": {
			id: "c1-3",
			st: &statement{
				tx: tx,
			},
			want: []string{"a=1", "b=2"},
		},
		"a read": {
			id: "c1-4",
			st: &statement{},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(c.st.commits(c.id), c.want)
		})
	}
}
