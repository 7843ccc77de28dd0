package proofs_test

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
)

// step is one operation of a hand-written history without concurrency.
type step struct {
	in  input
	out output
}

// allows reports whether the model allows the steps in this order.
func allows(model porcupine.Model, steps ...step) bool {
	r := newRecorder()
	for n, s := range steps {
		r.record(n, s.in, func() output {
			time.Sleep(time.Microsecond)
			return s.out
		})
	}
	return porcupine.CheckOperations(model, r.history())
}

func put(value string, unknown bool) step {
	return step{
		in: input{
			op:    opPut,
			key:   "k",
			value: value,
		},
		out: output{
			unknown: unknown,
		},
	}
}

func get(value string) step {
	return step{
		in: input{
			op:  opGet,
			key: "k",
		},
		out: output{
			value: value,
		},
	}
}

func add(value string, unknown bool) step {
	return step{
		in: input{
			op:    opAppend,
			key:   "l",
			value: value,
		},
		out: output{
			unknown: unknown,
		},
	}
}

func elements(values ...string) step {
	return step{
		in: input{
			op:  opElements,
			key: "l",
		},
		out: output{
			elements: values,
		},
	}
}

func transfer(amount int64) step {
	return step{
		in: input{
			op:     opTransfer,
			from:   "a",
			to:     "b",
			amount: amount,
		},
	}
}

func balances(a, b int64) step {
	return step{
		in: input{
			op: opBalances,
		},
		out: output{
			balances: map[string]int64{
				"a": a,
				"b": b,
			},
		},
	}
}

// TestModels checks that each model allows correct histories and rejects wrong
// ones.
func TestModels(t *testing.T) {
	ledger := ledgerModel(map[string]int64{
		"a": 10,
		"b": 0,
	})
	for _, c := range []struct {
		name  string
		model porcupine.Model
		steps []step
		want  bool
	}{
		{"own write seen", sessionModel(), []step{put("1", false), get("1")}, true},
		{"own write not seen", sessionModel(), []step{put("1", false), put("2", false), get("1")}, false},
		{"unknown write seen", sessionModel(), []step{put("1", false), put("2", true), get("2")}, true},
		{"unknown write not seen", sessionModel(), []step{put("1", false), put("2", true), get("1")}, true},
		{"write seen, then not seen", sessionModel(), []step{put("1", false), put("2", true), get("2"), get("1")}, false},
		{"append seen", listModel(), []step{add("x", false), elements("x")}, true},
		{"append lost", listModel(), []step{add("x", false), add("y", false), elements("y")}, false},
		{"append applied twice", listModel(), []step{add("x", false), elements("x", "x")}, false},
		{"unknown append not seen", listModel(), []step{add("x", true), elements()}, true},
		{"transfer applied once", ledger, []step{transfer(3), balances(7, 3)}, true},
		{"transfer lost", ledger, []step{transfer(3), balances(10, 0)}, false},
		{"transfer applied twice", ledger, []step{transfer(3), balances(4, 6)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(allows(c.model, c.steps...), c.want)
		})
	}
}
