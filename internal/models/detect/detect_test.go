package detect_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"wasabislip.example/wasabislip/internal/models/detect"
)

const interval = 250 * time.Millisecond

// failedAfter returns how long after the last answer the detector reports a
// failure; 0 if it does not within a minute.
func failedAfter(d *detect.Detector, from time.Time, miss func(), majority bool) time.Duration {
	for waited := interval; waited < time.Minute; waited += interval {
		miss()
		if failed, _ := d.Failed(from.Add(waited), majority); failed {
			return waited
		}
	}
	return 0
}

func TestFailed(t *testing.T) {
	now := time.Unix(1000, 0)
	check := func(name string, latency time.Duration, refused, majority bool, want time.Duration) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := &detect.Detector{}
			d.Reset(now)
			d.RecordAnswer(now, latency)
			miss := d.RecordMiss
			if refused {
				miss = d.RecordRefusal
			}
			is.Equal(failedAfter(d, now, miss, majority), want)
		})
	}
	check("gives no answer", time.Millisecond, false, true, detect.SilenceTimeout)
	check("refuses connections", time.Millisecond, true, true, 3*interval)
	check("was slow", 700*time.Millisecond, false, true, 2250*time.Millisecond)
	check("was very slow", 10*time.Second, false, true, detect.MaxTimeout)
	check("no majority for a promotion", time.Millisecond, false, false, 0)
	t.Run("log entries from the primary count as a sign of activity", func(t *testing.T) {
		is := is.New(t)
		d := &detect.Detector{}
		d.Reset(now)
		for range 100 {
			now = now.Add(interval)
			d.RecordMiss()
			d.RecordActivity(now)
			failed, _ := d.Failed(now, true)
			is.True(!failed)
		}
	})
}
