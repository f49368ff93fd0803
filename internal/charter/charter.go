// Package charter makes of entry instances' log lines what an engineer on call looks at
// first: when statements were refused, late or tried again, and why; how long they waited;
// which connections could not be opened; when the lead moved and dependencies were lost.
package charter

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/oriolegw/oriolegw/internal/explainer"
)

const (
	// longestMillis bounds what is told apart in histograms; statements end sooner.
	longestMillis = 60_000
	// histogramDigits is how exactly.
	histogramDigits = 2
	// outcomeTried is that of a try that another one follows.
	outcomeTried = "tried"
)

type (
	// Report is what a log tells.
	Report struct {
		From, To time.Time
		// Failures counts by second what was not served in the end.
		Failures map[int]int
		// Series are counts a second, by name and second since From.
		Series map[string]map[int]int
		// Latency and Wait are in milliseconds, by second since From; Groups is the
		// latency by group.
		Latency, Wait map[int]*hdrhistogram.Histogram
		Groups        map[string]*hdrhistogram.Histogram
		Causes        []Cause
		Moves         []Move
		Losses        []Loss
		// Dropped counts lines that instances did not write: what is counted is the least
		// that happened.
		Dropped int

		// begun are the changes of the lead that have not ended, by group.
		begun map[string]Move
	}

	// Cause is why statements failed at first or for good, in which groups.
	Cause struct {
		Outcome, Reason string
		Groups          map[string]int
		Count           int
		First, Last     time.Time
	}

	// Move is a change of the lead.
	Move struct {
		At                              time.Time
		Group, Reason, From, To, Result string
		Took                            time.Duration
	}

	// Loss is a dependency's absence; Until is zero where it was not seen to return.
	Loss struct {
		At, Until            time.Time
		Instance, Dependency string
		Cause                string
	}
)

// The series of a report beside those of outcomes.
const (
	SeriesServed   = "served"
	SeriesNoPlace  = "connections refused, no place"
	SeriesNotOpen  = "connections failed"
	SeriesLost     = "connections lost while idle"
	SeriesCallers  = "connections of callers cut"
	SeriesCarriers = "members reached through others"
)

// Summarize reads log lines, in order of time, into a report.
func Summarize(lines []explainer.Line) *Report {
	r := &Report{
		Failures: map[int]int{}, begun: map[string]Move{}, Series: map[string]map[int]int{}, Latency: map[int]*hdrhistogram.Histogram{},
		Wait: map[int]*hdrhistogram.Histogram{}, Groups: map[string]*hdrhistogram.Histogram{},
	}
	if len(lines) == 0 {
		return r
	}
	r.From, r.To = lines[0].At, lines[len(lines)-1].At
	causes := map[[2]string]*Cause{}
	lost := map[[2]string]int{}
	for _, l := range lines {
		switch l.Fields["part"] {
		case "served":
			r.served(l)
		case "request":
			r.request(l, causes)
		case "connection":
			r.connection(l)
		case "peers":
			if l.Fields["event"] == "carried" {
				r.count(SeriesCarriers, l.At)
			}
		case "duty":
			r.duty(l)
		case "belief":
			r.dependency(l, lost)
		case "journal":
			r.Dropped += int(number(l, "lines"))
		}
	}
	for _, m := range r.begun {
		r.Moves = append(r.Moves, m)
	}
	slices.SortStableFunc(r.Moves, func(a, b Move) int { return a.At.Compare(b.At) })
	for _, c := range causes {
		r.Causes = append(r.Causes, *c)
	}
	slices.SortFunc(r.Causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome+a.Reason, b.Outcome+b.Reason))
	})
	return r
}

func (r *Report) second(at time.Time) int { return int(at.Sub(r.From) / time.Second) }

func (r *Report) count(series string, at time.Time) {
	if r.Series[series] == nil {
		r.Series[series] = map[int]int{}
	}
	r.Series[series][r.second(at)]++
}

func (r *Report) served(l explainer.Line) {
	r.count(SeriesServed, l.At)
	record(r.Latency, r.second(l.At), number(l, "ms"))
	record(r.Wait, r.second(l.At), number(l, "waited-ms"))
	record(r.Groups, l.Fields["group"], number(l, "ms"))
}

func (r *Report) request(l explainer.Line, causes map[[2]string]*Cause) {
	outcome, reason, group := l.Fields["outcome"], l.Fields["reason"], l.Fields["group"]
	if outcome == "caller-cut" {
		r.count(SeriesCallers, l.At)
	}
	if reason == "" {
		return
	}
	r.count(outcome+", "+reason, l.At)
	if outcome != outcomeTried {
		r.Failures[r.second(l.At)]++
	}
	key := [2]string{outcome, reason}
	c, ok := causes[key]
	if !ok {
		c = &Cause{Outcome: outcome, Reason: reason, Groups: map[string]int{}, First: l.At}
		causes[key] = c
	}
	c.Count, c.Last = c.Count+1, l.At
	c.Groups[group]++
}

func (r *Report) connection(l explainer.Line) {
	series := SeriesNotOpen
	if l.Fields["event"] == "connection-lost" {
		series = SeriesLost
	}
	if strings.Contains(l.Fields["cause"], "too-many-connections") {
		series = SeriesNoPlace
	}
	r.count(series, l.At)
}

// duty takes in changes of the lead. The holder of a duty may die in the middle of one, so
// one that began and was not seen to end is listed as well.
func (r *Report) duty(l explainer.Line) {
	group := l.Fields["group"]
	switch l.Fields["event"] {
	case "move-begins":
		r.begun[group] = Move{At: l.At, Group: group, Reason: l.Fields["reason"], From: l.Fields["primary"], Result: "not seen to end"}
		return
	case "move-ended":
		delete(r.begun, group)
	default:
		return
	}
	r.Moves = append(r.Moves, Move{
		At: l.At, Group: group, Reason: l.Fields["reason"], From: l.Fields["from"], To: l.Fields["to"],
		Result: l.Fields["outcome"], Took: time.Duration(number(l, "ms")) * time.Millisecond,
	})
}

// dependency matches losses with returns of the same instance.
func (r *Report) dependency(l explainer.Line, lost map[[2]string]int) {
	key := [2]string{l.Source(), l.Fields["dependency"]}
	switch l.Fields["event"] {
	case "dependency-lost":
		lost[key] = len(r.Losses)
		r.Losses = append(r.Losses, Loss{At: l.At, Instance: key[0], Dependency: key[1], Cause: l.Fields["cause"]})
	case "dependency-regained":
		if i, ok := lost[key]; ok {
			r.Losses[i].Until = l.At
			delete(lost, key)
		}
	}
}

// number reads a field; one that is missing or none counts as 0, as for lines of older
// versions.
func number(l explainer.Line, field string) int64 {
	n, err := strconv.ParseInt(l.Fields[field], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func record[K comparable](m map[K]*hdrhistogram.Histogram, key K, millis int64) {
	h, ok := m[key]
	if !ok {
		h = hdrhistogram.New(1, longestMillis, histogramDigits)
		m[key] = h
	}
	// The only error is a value out of range, which this one can't be.
	_ = h.RecordValue(min(max(millis, 1), longestMillis))
}

// names returns the report's series in order.
func (r *Report) names() []string { return slices.Sorted(maps.Keys(r.Series)) }
