package table_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"wasabislip.example/wasabislip/internal/modules/table"
	"wasabislip.example/wasabislip/internal/standin/cloud"
	"wasabislip.example/wasabislip/pkg/model/fault"
)

// outcomes collects the request ids of concurrent writers by result. Ids whose write
// had an unknown outcome are in neither list.
type outcomes struct {
	mu      sync.Mutex
	written []string
	refused []string
}

// record adds the request's id to the list for err.
func (o *outcomes) record(request string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		o.written = append(o.written, request)
	}
	if fault.IsKind(err, fault.Conflict) {
		o.refused = append(o.refused, request)
	}
}

// appendRequest reads the row and writes it with the request's id added to the body.
func (o *outcomes) appendRequest(tab *table.Table, request string) {
	ctx := context.Background()
	old, err := tab.Get(ctx, "term", "db")
	if err != nil {
		return
	}
	next := row("db", request)
	next.Body = []byte(string(old.Body) + " " + request)
	o.record(request, tab.Put(ctx, next, old.Version))
}

// Eight writers change one row at the same time, and 30% of the answers are lost.
// Every confirmed change must be in the row, and no refused change may be.
func TestRacingWriters(t *testing.T) {
	runInBubble(t, "with lost answers", func(t *testing.T, tab *table.Table, platform *cloud.Server) {
		is := is.New(t)
		setFaults(t, platform, `{"lose-fraction": 0.3, "seed": 1}`)
		var o outcomes
		var wg conc.WaitGroup
		for w := range 8 {
			wg.Go(func() {
				for n := range 20 {
					o.appendRequest(tab, fmt.Sprintf("w%d-%d", w, n))
					time.Sleep(time.Second)
				}
			})
		}
		wg.Wait()
		got, err := tab.Get(context.Background(), "term", "db")
		is.NoErr(err)
		applied := strings.Fields(string(got.Body))
		is.Equal(got.Version, uint64(len(applied)))
		is.True(len(o.written) > 20)
		is.True(len(o.refused) > 0)
		for _, r := range o.written {
			is.True(slices.Contains(applied, r)) // a confirmed change is there
		}
		for _, r := range o.refused {
			is.True(!slices.Contains(applied, r)) // a refused one is not
		}
	})
}
