package answer_test

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/answer"
	"wasabislip.example/wasabislip/internal/models/plan"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// samples holds one encoded message for each type.
var samples = map[rune]pgproto3.BackendMessage{
	'1': &pgproto3.ParseComplete{},
	'2': &pgproto3.BindComplete{},
	'3': &pgproto3.CloseComplete{},
	'C': &pgproto3.CommandComplete{},
	'D': &pgproto3.DataRow{},
	'E': &pgproto3.ErrorResponse{},
	'G': &pgproto3.CopyInResponse{},
	'N': &pgproto3.NoticeResponse{},
	'S': &pgproto3.ParameterStatus{},
	'T': &pgproto3.RowDescription{},
	'Z': &pgproto3.ReadyForQuery{},
	'n': &pgproto3.NoData{},
	's': &pgproto3.PortalSuspended{},
	't': &pgproto3.ParameterDescription{},
}

func encode(t *testing.T, types string) []byte {
	t.Helper()
	var raw []byte
	for _, kind := range types {
		var err error
		raw, err = samples[kind].Encode(raw)
		is.New(t).NoErr(err)
	}
	return raw
}

func TestFilter(t *testing.T) {
	for _, c := range []struct {
		name   string
		expect []byte
		in     string
		out    string
		done   int
		kind   string
	}{
		{
			name:   "the proxy's own replies come in order",
			expect: []byte{plan.Parsed, plan.Bound, plan.PortalDescribed, plan.Executed, plan.StatementClosed},
			in:     "2TDDCZ",
			out:    "12TDDC3",
			done:   5,
		},
		{
			name:   "a Parse sent as a Describe gets a ParseComplete",
			expect: []byte{plan.Checked, plan.StatementDescribed, plan.PortalClosed},
			in:     "tTtn3Z",
			out:    "1tn3",
			done:   3,
		},
		{
			name:   "an error ends the answer",
			expect: []byte{plan.Parsed, plan.Bound, plan.Executed},
			in:     "2EZ",
			out:    "12E",
			done:   2,
		},
		{
			name:   "notices pass, ParameterStatus does not",
			expect: []byte{plan.Simple},
			in:     "NSTDCCZ",
			out:    "NTDCC",
			done:   1,
		},
		{
			name:   "a suspended portal",
			expect: []byte{plan.Executed, plan.Executed},
			in:     "DsDC",
			out:    "DsDC",
			done:   2,
		},
		{
			name:   "a reply of the wrong type",
			expect: []byte{plan.Bound, plan.Executed},
			in:     "1",
			kind:   fault.OutcomeUnknown,
		},
		{
			name:   "one reply too many",
			expect: []byte{plan.Executed},
			in:     "CC",
			out:    "C",
			done:   1,
			kind:   fault.OutcomeUnknown,
		},
		{
			name:   "one reply too few",
			expect: []byte{plan.Bound, plan.Executed},
			in:     "2DZ",
			out:    "2D",
			done:   1,
			kind:   fault.OutcomeUnknown,
		},
		{
			name:   "the database asks for COPY data",
			expect: []byte{plan.Simple},
			in:     "G",
			kind:   fault.Unsupported,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := answer.New(c.expect)
			out, err := processBytes(f, encode(t, c.in))
			if err == nil {
				out, err = f.Finish(out)
			}
			is.Equal(fault.IsKind(err, c.kind), c.kind != "")
			is.Equal(err == nil, c.kind == "")
			is.Equal(string(out), string(encode(t, c.out)))
			is.Equal(f.Answered(), c.done)
		})
	}
	t.Run("an incomplete message at the end", func(t *testing.T) {
		is := is.New(t)
		f := answer.New([]byte{plan.Simple})
		out, err := f.Process(nil, []byte{'D', 0, 0})
		is.NoErr(err)
		_, err = f.Finish(out)
		is.True(fault.IsKind(err, fault.OutcomeUnknown))
	})
}

// processBytes passes the answer to the filter byte by byte.
func processBytes(f *answer.Filter, in []byte) ([]byte, error) {
	var out []byte
	for i := range in {
		var err error
		out, err = f.Process(out, in[i:i+1])
		if err != nil {
			return out, err
		}
	}
	return out, nil
}
