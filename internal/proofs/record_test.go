package proofs_test

import (
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// recorder records the operations of concurrent callers.
type recorder struct {
	mu    sync.Mutex
	begin time.Time
	ops   []porcupine.Operation
}

func newRecorder() *recorder {
	return &recorder{
		begin: time.Now(),
	}
}

// record runs an operation and records it, unless it failed: a failed write did
// not take effect, and a failed read returned nothing.
func (r *recorder) record(client int, in input, run func() output) {
	call := time.Since(r.begin)
	out := run()
	end := time.Since(r.begin)
	if out.failed {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{
		ClientId: client,
		Input:    in,
		Call:     int64(call),
		Output:   out,
		Return:   int64(end),
	})
}

// history returns the operations. A write of unknown outcome may have taken
// effect at any time after its call, or never. If a read returned its value, it
// took effect before that read returned. If no read did, it is left out when
// reads can tell whose value they return (a put or an append); a transfer stays
// open to the end of the history instead. Each gets a client number of its own,
// because its caller went on to other operations.
func (r *recorder) history() []porcupine.Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := int64(time.Since(r.begin)) + int64(time.Hour)
	ops := make([]porcupine.Operation, 0, len(r.ops))
	for i, op := range r.ops {
		if !op.Output.(output).unknown {
			ops = append(ops, op)
			continue
		}
		op.ClientId = len(r.ops) + i
		op.Return = end + int64(i)
		if in := op.Input.(input); in.op == opPut || in.op == opAppend {
			seen := r.firstSeen(in)
			if seen == 0 {
				continue
			}
			op.Return = seen
		}
		ops = append(ops, op)
	}
	return ops
}

// firstSeen returns when the first read that returned a write's value ended, or
// 0 if none returned it. Values are unique in a history. The caller holds mu.
func (r *recorder) firstSeen(in input) int64 {
	first := int64(0)
	for _, op := range r.ops {
		out := op.Output.(output)
		if op.Input.(input).key != in.key || (out.value != in.value && !slices.Contains(out.elements, in.value)) {
			continue
		}
		if first == 0 || op.Return < first {
			first = op.Return
		}
	}
	return first
}
