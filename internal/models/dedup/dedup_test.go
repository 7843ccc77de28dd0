package dedup_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/dedup"
	"wasabislip.example/wasabislip/internal/models/reply"
	"wasabislip.example/wasabislip/internal/models/report"
)

// Guards against the answer to an earlier request that counts as that to a later one.
func TestReports(t *testing.T) {
	paused := report.Report{
		PausedTerm: 2,
	}
	t.Run("the first answer, and one unlike it", func(t *testing.T) {
		is := is.New(t)
		h := dedup.Reports{}
		is.True(h.Add(report.Report{}, reply.Done))
		is.True(h.Add(paused, reply.Done))
		is.True(!h.Doubtful())
	})
	t.Run("one like an earlier one, and any after it", func(t *testing.T) {
		is := is.New(t)
		h := dedup.Reports{}
		is.True(h.Add(report.Report{}, reply.Done))
		is.True(!h.Add(report.Report{}, reply.Done))
		is.True(h.Doubtful())
		is.True(!h.Add(paused, reply.Done)) // may answer the second request
	})
	t.Run("refusals are told apart from reports, and not from each other", func(t *testing.T) {
		is := is.New(t)
		h := dedup.Reports{}
		is.True(h.Add(report.Report{}, reply.Done))
		is.True(h.Add(report.Report{}, reply.Busy))
		is.True(!h.Add(report.Report{}, reply.Busy))
	})
	t.Run("a connection with more answers than are remembered", func(t *testing.T) {
		is := is.New(t)
		h := dedup.Reports{}
		for term := range uint64(1000) {
			h.Add(report.Report{
				Term: term,
			}, reply.Done)
		}
		is.True(h.Doubtful())
	})
	t.Run("random instances that repeat answers at any time", func(t *testing.T) {
		is := is.New(t)
		proven := 0
		for seed := range uint64(20000) {
			proven += playReports(is, rand.New(rand.NewPCG(seed, 0)))
		}
		t.Logf("%d answers belong surely to their request", proven)
		is.True(proven > 30000) // not only the first answer of each of 20000 connections
	})
}

// playReports sends requests on a connection on which each answer may come again, and
// returns how many answers counted as own. Each has to be.
func playReports(is *is.I, random *rand.Rand) int {
	is.Helper()
	h := dedup.Reports{}
	type sent struct {
		request int
		report  report.Report
	}
	var unread, mayRepeat []sent
	proven := 0
	for request := range 8 {
		own := sent{
			request: request,
			report: report.Report{
				PausedTerm: uint64(random.IntN(6)),
			},
		}
		for i := 0; i < len(mayRepeat); i++ {
			if random.IntN(4) == 0 {
				unread = append(unread, mayRepeat[i])
				mayRepeat = append(mayRepeat[:i], mayRepeat[i+1:]...)
				i--
			}
		}
		unread = append(unread, own)
		mayRepeat = append(mayRepeat, own)
		if h.Add(unread[0].report, reply.Done) {
			is.Equal(unread[0].request, request)
			proven++
		}
		unread = unread[1:]
	}
	return proven
}
