package proofs_test

import (
	"maps"
	"slices"
	"strings"

	"github.com/anishathalye/porcupine"
)

// Names of operations in a history.
const (
	opPut      = "put"
	opGet      = "get"
	opAppend   = "append"
	opElements = "elements"
	opTransfer = "transfer"
	opBalances = "balances"
)

// input is the request of an operation.
type input struct {
	op     string
	key    string
	value  string
	from   string
	to     string
	amount int64
}

// output is the answer to an operation. failed says that the operation did not
// take effect, or was a read without an answer. unknown says that the caller
// could not learn whether the operation took effect.
type output struct {
	value    string
	elements []string
	balances map[string]int64
	unknown  bool
	failed   bool
}

// sessionModel is a register for each key, which one session writes. A read by
// that session returns its last acknowledged write, or a later write of unknown
// outcome.
func sessionModel() porcupine.Model {
	return porcupine.Model{
		Partition: partitionByKey,
		Init:      func() any { return "" },
		Step: func(state, in, out any) (bool, any) {
			i, o := in.(input), out.(output)
			switch {
			case i.op == opPut:
				return true, i.value
			case o.unknown || o.failed:
				return true, state
			default:
				return o.value == state.(string), state
			}
		},
	}
}

// partitionByKey splits a history by key, because keys are independent.
func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	parts := map[string][]porcupine.Operation{}
	for _, op := range history {
		key := op.Input.(input).key
		parts[key] = append(parts[key], op)
	}
	return slices.Collect(maps.Values(parts))
}

// listModel is an append-only list that contains each acknowledged element
// once. A read returns every element whose append was acknowledged before the
// read began.
func listModel() porcupine.Model {
	return porcupine.Model{
		Partition: partitionByKey,
		Init:      func() any { return []string(nil) },
		Step: func(state, in, out any) (bool, any) {
			i, o, current := in.(input), out.(output), state.([]string)
			switch {
			case i.op == opAppend:
				return true, append(slices.Clone(current), i.value)
			case o.unknown || o.failed:
				return true, state
			default:
				return slices.Equal(o.elements, current), state
			}
		},
		Equal: func(a, b any) bool {
			return slices.Equal(a.([]string), b.([]string))
		},
		DescribeOperation: func(in, out any) string {
			return in.(input).op + " " + in.(input).value + " " + strings.Join(out.(output).elements, ",")
		},
	}
}

// ledgerModel is the balances of accounts. A transfer is applied once or not at
// all.
func ledgerModel(opening map[string]int64) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return opening },
		Step: func(state, in, out any) (bool, any) {
			i, o, current := in.(input), out.(output), state.(map[string]int64)
			switch {
			case i.op == opTransfer:
				next := maps.Clone(current)
				next[i.from] -= i.amount
				next[i.to] += i.amount
				return true, next
			case o.unknown || o.failed:
				return true, state
			default:
				return maps.Equal(o.balances, current), state
			}
		},
		Equal: func(a, b any) bool {
			return maps.Equal(a.(map[string]int64), b.(map[string]int64))
		},
	}
}
