package summarizer

import (
	"bytes"
	"cmp"
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth, plotHeight = 24 * vg.Centimeter, 8 * vg.Centimeter
	timeFormat            = "15:04:05.000"
	// maxCauseRows bounds the table of causes, which omits the rarest.
	maxCauseRows = 60
)

type (
	// page is the data of the HTML template.
	page struct {
		*Report
		Plots  []figure
		Groups []groupRow
		Causes []causeRow
		More   int
		// Served and Failed count statements; Worst is the second with the most failures.
		Served, Failed int
		FailedPercent  float64
		Worst          second
		OutageRows     []outageRow
	}

	// second counts the statements of one second.
	second struct {
		At          time.Time
		Failed, All int
	}

	// causeRow is a row of the table of causes.
	causeRow struct {
		Cause
		GroupsText string
	}

	// outageRow combines the outages of one dependency on all instances.
	outageRow struct {
		Dependency, Cause string
		First, Last       time.Time
		Instances, Open   int
	}

	// figure is one plot as inline SVG.
	figure struct {
		Title string
		Image template.HTML
	}

	// groupRow is a row of the table of groups.
	groupRow struct {
		Group         string
		Count         int64
		P50, P99, Max int64
	}

	// plotLine is a named function of the second to plot.
	plotLine struct {
		name  string
		value func(second int) (float64, bool)
	}
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"clock": func(t time.Time) string {
		if t.IsZero() {
			return "not logged"
		}
		return t.Format(timeFormat)
	},
}).Parse(pageText))

// Write writes the report as one HTML page with embedded plots.
func (r *Report) Write(w io.Writer) error {
	p := page{Report: r, OutageRows: r.outageRows()}
	for _, c := range r.Causes[:min(maxCauseRows, len(r.Causes))] {
		p.Causes = append(p.Causes, causeRow{c, c.groupsText()})
	}
	p.More = len(r.Causes) - len(p.Causes)
	p.sumStatements()
	for _, g := range slices.Sorted(maps.Keys(r.Groups)) {
		h := r.Groups[g]
		p.Groups = append(p.Groups, groupRow{Group: g, Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), Max: h.Max()})
	}
	var outcomes, connections []plotLine
	for _, name := range r.seriesNames() {
		s := plotLine{name, func(second int) (float64, bool) { return float64(r.Series[name][second]), true }}
		switch {
		case name == SeriesServed:
		case strings.HasPrefix(name, "connections"), name == SeriesRelayed:
			connections = append(connections, s)
		default:
			outcomes = append(outcomes, s)
		}
	}
	for _, f := range []struct {
		title, unit string
		lines       []plotLine
	}{
		{"Statements refused, aborted, retried or of unknown outcome", "a second", outcomes},
		{"Latency of served statements", "ms", latencyLines(r.Latency)},
		{"Connection wait of served statements", "ms", latencyLines(r.Wait)},
		{"Connections", "a second", connections},
	} {
		image, err := r.draw(f.unit, f.lines)
		if err != nil {
			return errors.Wrap(err, f.title)
		}
		p.Plots = append(p.Plots, figure{f.title, image})
	}
	return pageTemplate.Execute(w, p)
}

// sumStatements counts served and failed statements, and finds the second with the most
// failures.
func (p *page) sumStatements() {
	worst := 0
	for at, n := range p.Failures {
		p.Failed += n
		if n > p.Failures[worst] || n == p.Failures[worst] && at < worst {
			worst = at
		}
	}
	for _, n := range p.Series[SeriesServed] {
		p.Served += n
	}
	if all := p.Served + p.Failed; all > 0 {
		p.FailedPercent = 100 * float64(p.Failed) / float64(all)
	}
	n := p.Failures[worst]
	p.Worst = second{p.From.Add(time.Duration(worst) * time.Second), n, n + p.Series[SeriesServed][worst]}
}

// groupsText names the only group of a cause, or counts the groups and names the most affected
// one.
func (c Cause) groupsText() string {
	names := slices.SortedFunc(maps.Keys(c.Groups), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.Groups[b], c.Groups[a]), cmp.Compare(a, b))
	})
	if len(names) == 1 {
		return names[0]
	}
	return fmt.Sprintf("%d, most in %s (%d)", len(names), names[0], c.Groups[names[0]])
}

// outageRows combines the outages by dependency.
func (r *Report) outageRows() []outageRow {
	rows := map[string]*outageRow{}
	instances := map[[2]string]bool{}
	for _, o := range r.Outages {
		row, ok := rows[o.Dependency]
		if !ok {
			row = &outageRow{Dependency: o.Dependency, Cause: o.Cause, First: o.At}
			rows[o.Dependency] = row
		}
		if key := [2]string{o.Dependency, o.Instance}; !instances[key] {
			instances[key] = true
			row.Instances++
		}
		if o.Until.IsZero() {
			row.Open++
		}
		if o.Until.After(row.Last) {
			row.Last = o.Until
		}
	}
	var list []outageRow
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		list = append(list, *rows[name])
	}
	return list
}

// latencyLines returns plot lines of the median and the 99th percentile.
func latencyLines(m map[int]*hdrhistogram.Histogram) []plotLine {
	at := func(q float64) func(int) (float64, bool) {
		return func(second int) (float64, bool) {
			h, ok := m[second]
			if !ok {
				return 0, false
			}
			return float64(h.ValueAtQuantile(q)), true
		}
	}
	return []plotLine{{"p50", at(50)}, {"p99", at(99)}}
}

// draw plots lines over the report's time range as SVG.
func (r *Report) draw(unit string, lines []plotLine) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds since "+r.From.Format(timeFormat), unit
	p.Y.Min = 0
	p.Legend.Top = true
	for i, l := range lines {
		var points plotter.XYs
		for second := range r.secondOf(r.To) + 1 {
			if v, ok := l.value(second); ok {
				points = append(points, plotter.XY{X: float64(second), Y: v})
			}
		}
		if len(points) == 0 {
			continue
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		curve.Color, curve.Dashes = plotutil.Color(i), plotutil.Dashes(i/len(plotutil.DefaultColors))
		p.Add(curve)
		p.Legend.Add(l.name, curve)
	}
	p.BackgroundColor = color.Transparent
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	_, svg, _ := strings.Cut(b.String(), "?>")
	return template.HTML(svg), nil
}
