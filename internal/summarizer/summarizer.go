// Package summarizer summarizes the log lines of entry instances for the engineer on call: which
// statements were refused, slow or retried and why, how long they waited, which connections
// failed, when primaries changed, and which dependencies were lost.
package summarizer

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
	// maxLatencyMillis is the largest value that histograms record. Statements time out
	// earlier.
	maxLatencyMillis = 60_000
	// histogramDigits is the number of significant digits in histograms.
	histogramDigits = 2
	// outcomeRetried is the outcome of a failed attempt that was retried.
	outcomeRetried = "tried"
)

type (
	// Report is the summary of a log.
	Report struct {
		From, To time.Time
		// Failures counts the statements that ended in failure, by second since From.
		Failures map[int]int
		// Series holds event counts by name and second since From.
		Series map[string]map[int]int
		// Latency and Wait are in milliseconds, by second since From; Groups is the latency by
		// group.
		Latency, Wait  map[int]*hdrhistogram.Histogram
		Groups         map[string]*hdrhistogram.Histogram
		Causes         []Cause
		PrimaryChanges []PrimaryChange
		Outages        []Outage
		// Dropped counts lines that instances dropped, so that all counts are lower bounds.
		Dropped int

		// unfinishedChanges holds changes of the primary without a logged end, by group.
		unfinishedChanges map[string]PrimaryChange
	}

	// Cause is a reason for failed or retried statements, with counts by group.
	Cause struct {
		Outcome, Reason string
		Groups          map[string]int
		Count           int
		First, Last     time.Time
	}

	// PrimaryChange is a change of a group's primary.
	PrimaryChange struct {
		At                              time.Time
		Group, Reason, From, To, Result string
		Took                            time.Duration
	}

	// Outage is an outage of a dependency; Until is zero if its end was not logged.
	Outage struct {
		At, Until            time.Time
		Instance, Dependency string
		Cause                string
	}
)

// The names of series other than those of outcomes.
const (
	SeriesServed             = "served"
	SeriesConnectionLimit    = "connections refused, connection limit"
	SeriesConnectFailed      = "connections failed"
	SeriesIdleConnectionLost = "connections lost while idle"
	SeriesCallerDisconnected = "connections of callers closed"
	SeriesRelayed            = "members reached via other instances"
)

// Summarize builds a report from log lines ordered by time.
func Summarize(lines []explainer.Line) *Report {
	r := &Report{
		Failures: map[int]int{}, unfinishedChanges: map[string]PrimaryChange{}, Series: map[string]map[int]int{}, Latency: map[int]*hdrhistogram.Histogram{},
		Wait: map[int]*hdrhistogram.Histogram{}, Groups: map[string]*hdrhistogram.Histogram{},
	}
	if len(lines) == 0 {
		return r
	}
	r.From, r.To = lines[0].Time, lines[len(lines)-1].Time
	causes := map[[2]string]*Cause{}
	lost := map[[2]string]int{}
	for _, l := range lines {
		switch l.Fields["part"] {
		case "served":
			r.addServed(l)
		case "request":
			r.addRequest(l, causes)
		case "connection":
			r.addConnection(l)
		case "peers":
			if l.Fields["event"] == "carried" {
				r.countEvent(SeriesRelayed, l.Time)
			}
		case "duty":
			r.addPrimaryChange(l)
		case "belief":
			r.addDependency(l, lost)
		case "journal":
			r.Dropped += int(intField(l, "lines"))
		}
	}
	for _, m := range r.unfinishedChanges {
		r.PrimaryChanges = append(r.PrimaryChanges, m)
	}
	slices.SortStableFunc(r.PrimaryChanges, func(a, b PrimaryChange) int { return a.At.Compare(b.At) })
	for _, c := range causes {
		r.Causes = append(r.Causes, *c)
	}
	slices.SortFunc(r.Causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome+a.Reason, b.Outcome+b.Reason))
	})
	return r
}

func (r *Report) secondOf(at time.Time) int { return int(at.Sub(r.From) / time.Second) }

func (r *Report) countEvent(series string, at time.Time) {
	if r.Series[series] == nil {
		r.Series[series] = map[int]int{}
	}
	r.Series[series][r.secondOf(at)]++
}

func (r *Report) addServed(l explainer.Line) {
	r.countEvent(SeriesServed, l.Time)
	recordMillis(r.Latency, r.secondOf(l.Time), intField(l, "ms"))
	recordMillis(r.Wait, r.secondOf(l.Time), intField(l, "waited-ms"))
	recordMillis(r.Groups, l.Fields["group"], intField(l, "ms"))
}

func (r *Report) addRequest(l explainer.Line, causes map[[2]string]*Cause) {
	outcome, reason, group := l.Fields["outcome"], l.Fields["reason"], l.Fields["group"]
	if outcome == "caller-cut" {
		r.countEvent(SeriesCallerDisconnected, l.Time)
	}
	if reason == "" {
		return
	}
	r.countEvent(outcome+", "+reason, l.Time)
	if outcome != outcomeRetried {
		r.Failures[r.secondOf(l.Time)]++
	}
	key := [2]string{outcome, reason}
	c, ok := causes[key]
	if !ok {
		c = &Cause{Outcome: outcome, Reason: reason, Groups: map[string]int{}, First: l.Time}
		causes[key] = c
	}
	c.Count, c.Last = c.Count+1, l.Time
	c.Groups[group]++
}

func (r *Report) addConnection(l explainer.Line) {
	series := SeriesConnectFailed
	if l.Fields["event"] == "connection-lost" {
		series = SeriesIdleConnectionLost
	}
	if strings.Contains(l.Fields["cause"], "too-many-connections") {
		series = SeriesConnectionLimit
	}
	r.countEvent(series, l.Time)
}

// addPrimaryChange adds a change of the primary. A change without a logged end is kept as
// unfinished, since the instance may have died during it.
func (r *Report) addPrimaryChange(l explainer.Line) {
	group := l.Fields["group"]
	switch l.Fields["event"] {
	case "move-begins":
		r.unfinishedChanges[group] = PrimaryChange{At: l.Time, Group: group, Reason: l.Fields["reason"], From: l.Fields["primary"], Result: "end not logged"}
		return
	case "move-ended":
		delete(r.unfinishedChanges, group)
	default:
		return
	}
	r.PrimaryChanges = append(r.PrimaryChanges, PrimaryChange{
		At: l.Time, Group: group, Reason: l.Fields["reason"], From: l.Fields["from"], To: l.Fields["to"],
		Result: l.Fields["outcome"], Took: time.Duration(intField(l, "ms")) * time.Millisecond,
	})
}

// addDependency pairs the loss and the return of a dependency on the same instance.
func (r *Report) addDependency(l explainer.Line, lost map[[2]string]int) {
	key := [2]string{l.InstanceName(), l.Fields["dependency"]}
	switch l.Fields["event"] {
	case "dependency-lost":
		lost[key] = len(r.Outages)
		r.Outages = append(r.Outages, Outage{At: l.Time, Instance: key[0], Dependency: key[1], Cause: l.Fields["cause"]})
	case "dependency-regained":
		if i, ok := lost[key]; ok {
			r.Outages[i].Until = l.Time
			delete(lost, key)
		}
	}
}

// intField parses a field; a missing or invalid one counts as 0, as in lines of older
// versions.
func intField(l explainer.Line, field string) int64 {
	n, err := strconv.ParseInt(l.Fields[field], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func recordMillis[K comparable](m map[K]*hdrhistogram.Histogram, key K, millis int64) {
	h, ok := m[key]
	if !ok {
		h = hdrhistogram.New(1, maxLatencyMillis, histogramDigits)
		m[key] = h
	}
	// The value is in range, so there is no error.
	_ = h.RecordValue(min(max(millis, 1), maxLatencyMillis))
}

// seriesNames returns the names of the report's series, sorted.
func (r *Report) seriesNames() []string { return slices.Sorted(maps.Keys(r.Series)) }
