// Package result writes the results of an experiment as a table and as plots.
package result

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"wasabislip.example/wasabislip/internal/lab/tally"
)

// Size of a plot.
const (
	width  = 18 * vg.Centimeter
	height = 9 * vg.Centimeter
)

const tableHead = `| load | policy | asked | in time | late | refused | failed | p50 | p99 | worst-served workspace |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
`

// Result collects the tallies of trials.
type Result struct {
	// Name is the title of the plots.
	Name string

	rows []row
}

// row is the tally of one trial.
type row struct {
	load   string
	policy string
	tally  *tally.Tally
}

// Add adds the tally of one trial.
func (r *Result) Add(load, policy string, t *tally.Tally) {
	r.rows = append(r.rows, row{
		load:   load,
		policy: policy,
		tally:  t,
	})
}

// WriteTable writes a Markdown table with a row for each trial.
func (r *Result) WriteTable(w io.Writer) error {
	if _, err := io.WriteString(w, tableHead); err != nil {
		return err
	}
	for _, x := range r.rows {
		if _, err := io.WriteString(w, x.markdown()); err != nil {
			return err
		}
	}
	return nil
}

func (r *row) markdown() string {
	t := r.tally
	total := max(1, t.Total())
	percent := func(outcome int) string {
		return fmt.Sprintf("%.1f%%", 100*float64(t.Count(outcome))/float64(total))
	}
	return fmt.Sprintf("| %s | %s | %d | %s | %s | %s | %s | %d ms | %d ms | %.1f%% |\n",
		r.load, r.policy, t.Total(),
		percent(tally.InTime), percent(tally.Late), percent(tally.Refused), percent(tally.Failed),
		t.Latency.Quantile(0.5).Milliseconds(), t.Latency.Quantile(0.99).Milliseconds(), 100*t.LeastServed())
}

// WritePlots writes a plot for each load into a directory. It shows the served
// fraction over the time of the trial, with a line for each policy.
func (r *Result) WritePlots(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	lines := map[string][]any{}
	for _, x := range r.rows {
		lines[x.load] = append(lines[x.load], x.policy, points(x.tally))
	}
	var errs []error
	for load, series := range lines {
		errs = append(errs, r.writePlot(filepath.Join(dir, load+".svg"), load, series))
	}
	return errors.Join(errs...)
}

// writePlot writes one plot. The series are pairs of a label and points, as
// plotutil.AddLines takes them.
func (r *Result) writePlot(name, load string, series []any) error {
	p := plot.New()
	p.Title.Text = r.Name + ": " + load
	p.X.Label.Text = "time, s"
	p.Y.Label.Text = "part served"
	p.Y.Min = 0
	p.Y.Max = 1
	p.Legend.Top = false
	if err := plotutil.AddLines(p, series...); err != nil {
		return fmt.Errorf("plot load %s: %w", load, err)
	}
	return p.Save(width, height, name)
}

// points returns the served fraction over time, without the time slices in which
// no operation arrived.
func points(t *tally.Tally) plotter.XYs {
	var list plotter.XYs
	for n, share := range t.ServedBySlice() {
		if math.IsNaN(share) {
			continue
		}
		list = append(list, plotter.XY{
			X: float64(n) * tally.SliceWidth.Seconds(),
			Y: share,
		})
	}
	return list
}
