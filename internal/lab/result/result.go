// Package result shows what an experiment found, as a table and as plots.
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

const (
	width  = 18 * vg.Centimeter
	height = 9 * vg.Centimeter
)

const head = `| load | policy | asked | in time | late | refused | failed | p50 | p99 | worst-served workspace |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
`

// Result gathers plays.
type Result struct {
	// Name is the title.
	Name string

	rows []row
}

type row struct {
	load   string
	policy string
	tally  *tally.Tally
}

// Add takes what callers got in one play.
func (r *Result) Add(load, policy string, t *tally.Tally) {
	r.rows = append(r.rows, row{
		load:   load,
		policy: policy,
		tally:  t,
	})
}

// Table writes the plays as a table in Markdown.
func (r *Result) Table(w io.Writer) error {
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for _, x := range r.rows {
		if _, err := io.WriteString(w, x.text()); err != nil {
			return err
		}
	}
	return nil
}

func (x *row) text() string {
	t := x.tally
	asked := max(1, t.Asked())
	part := func(outcome int) string {
		return fmt.Sprintf("%.1f%%", 100*float64(t.Count(outcome))/float64(asked))
	}
	return fmt.Sprintf("| %s | %s | %d | %s | %s | %s | %s | %d ms | %d ms | %.1f%% |\n",
		x.load, x.policy, t.Asked(),
		part(tally.InTime), part(tally.Late), part(tally.Refused), part(tally.Failed),
		t.Took.Quantile(0.5).Milliseconds(), t.Took.Quantile(0.99).Milliseconds(), 100*t.Worst())
}

// Plots writes one drawing a load into a directory: the part served over the
// time of the play, a line a policy.
func (r *Result) Plots(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	lines := map[string][]any{}
	for _, x := range r.rows {
		lines[x.load] = append(lines[x.load], x.policy, course(x.tally))
	}
	var all []error
	for load, list := range lines {
		all = append(all, r.draw(filepath.Join(dir, load+".svg"), load, list))
	}
	return errors.Join(all...)
}

func (r *Result) draw(name, load string, list []any) error {
	p := plot.New()
	p.Title.Text = r.Name + ": " + load
	p.X.Label.Text = "time, s"
	p.Y.Label.Text = "part served"
	p.Y.Min = 0
	p.Y.Max = 1
	p.Legend.Top = false
	if err := plotutil.AddLines(p, list...); err != nil {
		return fmt.Errorf("draw load %s: %w", load, err)
	}
	return p.Save(width, height, name)
}

func course(t *tally.Tally) plotter.XYs {
	var points plotter.XYs
	for n, share := range t.Course() {
		if math.IsNaN(share) {
			continue // nobody asked then
		}
		points = append(points, plotter.XY{
			X: float64(n) * tally.Slice.Seconds(),
			Y: share,
		})
	}
	return points
}
