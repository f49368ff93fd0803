package reporter

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/oriolegw/oriolegw/pkg/refuser"
	"github.com/uber-go/tally/v4"
)

type (
	// Metric describes a counter or gauge for docs/METRICS.md. Names have dots
	// in the code; the page shows them as oriolegw_ and underscores.
	Metric struct {
		Name string
		Kind string
		Text string
	}

	// Register keeps what a tally scope reports and writes it as a page in the
	// text format of Prometheus. The zero value is ready for use. It implements
	// tally.CachedStatsReporter, so that a counter shows from its making, at 0.
	Register struct {
		mutex  sync.Mutex
		series map[string]*series
	}

	series struct {
		register *Register
		name     string
		labels   string
		kind     string
		value    float64
		// read, when set, gives the value at the moment of looking.
		read func() float64
	}

	// timer is a series of times: how many, and their sum in seconds.
	timer struct{ count, sum *series }

	// histogram has a series for each bucket.
	histogram struct {
		register *Register
		name     string
		tags     map[string]string
	}
)

// The kinds of metrics.
const (
	KindCounter = "counter"
	KindGauge   = "gauge"

	// GaugeCallers and GaugeVersion are the gauges; TagInstance is the label of
	// all that an instance shows.
	GaugeCallers = "callers.open"
	GaugeVersion = "configuration.version"
	TagInstance  = "instance"

	// ReportInterval is how often a scope hands its values over; a page is late
	// by at most that.
	ReportInterval = time.Second

	prefix         = "oriolegw_"
	refusedCounter = "refused."
)

// Metrics lists the metrics beside those of the refusals, in order of names. A
// counter that is used and missing here fails the tests of this package.
var Metrics = []Metric{
	{"callers.accepted", KindCounter, "Callers that connected."},
	{"callers.cancels", KindCounter, "Connections that only brought a cancel request."},
	{"callers.failed", KindCounter, "Callers that were refused, broke the protocol, or left, before their session began."},
	{GaugeCallers, KindGauge, "Callers that are connected now."},
	{"cancels.failed", KindCounter, "Cancel requests that found no request to cancel, or could not be passed on."},
	{"configuration-rejected", KindCounter, "Published versions that the instance could not read; the version in force stayed."},
	{GaugeVersion, KindGauge, "Version of the configuration in force; 0 is none."},
	{"drain.cut", KindCounter, "Callers cut off because they were in a transaction at the limit of the instance's drain."},
	{"given-up.silent", KindCounter, "Requests given up because their connection to the target had gone silent and a fresh one had not."},
	{"peer-failed.exchange", KindCounter, "Exchanges with another instance that failed."},
	{"peer-refused.connections", KindCounter, "Peer connections refused because there were too many."},
	{"peer-refused.foreign-fleet", KindCounter, "Peer connections refused because the other end is of another fleet."},
	{"peer-refused.handshake-timeout", KindCounter, "Peer connections refused because the handshake took too long."},
	{"peer-refused.unproved", KindCounter, "Peer connections refused because the other end did not prove that it belongs to the fleet."},
	{"peer-refused.wire-version", KindCounter, "Peer connections refused because the other end speaks a version that this one does not."},
	{"probe", KindCounter, "Probes on fresh connections to targets, sent because an open one had been silent."},
	{"retry.behind", KindCounter, "Reads tried elsewhere because the replica turned out to be behind what the request needs."},
	{"retry.connect", KindCounter, "Requests tried again because no connection to the target could be opened; nothing had been sent."},
	{"retry.not-quiet", KindCounter, "Requests tried again because the idle connection that was taken for them had ended, or held an answer too many; nothing had been sent."},
	{"retry.not-run", KindCounter, "Requests tried again because the target ran nothing of them: it was fenced, or said so."},
	{"retry.write", KindCounter, "Requests sent to the primary because a replica met a write that their words did not show."},
	{"target-leaving.list", KindCounter, "Signs that a target is leaving, from the platform's list."},
	{"target-leaving.operator", KindCounter, "Signs that a target is leaving, from the document."},
	{"target-leaving.peer", KindCounter, "Signs that a target is leaving, from another instance."},
	{"target-leaving.target", KindCounter, "Signs that a target is leaving, from the target."},
}

// RefusalMetric is the name of the counter of a reason.
func RefusalMetric(r *refuser.Reason) string { return refusedCounter + r.Name }

// Declare makes every refusal and retry counter, so that all show from the
// start, at 0: a graph of a counter that first appears with its first refusal
// has no increase to show.
func Declare(s tally.Scope) {
	for _, r := range refuser.Reasons {
		s.Counter(RefusalMetric(r))
	}
	for _, m := range Metrics {
		if m.Kind == KindCounter {
			s.Counter(m.Name)
		}
	}
}

// Open makes a scope that reports into the register until it is closed.
func (r *Register) Open(tags map[string]string) (tally.Scope, io.Closer) {
	return tally.NewRootScope(tally.ScopeOptions{CachedReporter: r, Tags: tags, OmitCardinalityMetrics: true}, ReportInterval)
}

// Watch adds a gauge that is read when the page is asked for. The function must
// not use the register.
func (r *Register) Watch(name string, tags map[string]string, read func() float64) {
	s := r.add(name, KindGauge, tags)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s.read = read
}

func (r *Register) add(name, kind string, tags map[string]string) *series {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.series == nil {
		r.series = map[string]*series{}
	}
	s := &series{register: r, name: PageName(name), labels: labels(tags), kind: kind}
	if old := r.series[s.name+s.labels]; old != nil {
		return old
	}
	r.series[s.name+s.labels] = s
	return s
}

// PageName is a metric's name on the page.
func PageName(name string) string {
	return prefix + strings.NewReplacer(".", "_", "-", "_").Replace(name)
}

func labels(tags map[string]string) string {
	if len(tags) == 0 {
		return ""
	}
	var out []string
	for k, v := range tags {
		out = append(out, fmt.Sprintf("%s=%q", strings.ReplaceAll(k, "-", "_"), v))
	}
	sort.Strings(out)
	return "{" + strings.Join(out, ",") + "}"
}

// Page is the page of metrics.
func (r *Register) Page() []byte {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	all := make([]*series, 0, len(r.series))
	for _, s := range r.series {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *series) int { return strings.Compare(a.name+a.labels, b.name+b.labels) })
	var out bytes.Buffer
	last := ""
	for _, s := range all {
		if s.name != last {
			fmt.Fprintf(&out, "# TYPE %s %s\n", s.name, s.kind)
			last = s.name
		}
		if s.read != nil {
			s.value = s.read()
		}
		fmt.Fprintf(&out, "%s%s %v\n", s.name, s.labels, s.value)
	}
	return out.Bytes()
}

func (s *series) change(to func(old float64) float64) {
	s.register.mutex.Lock()
	defer s.register.mutex.Unlock()
	s.value = to(s.value)
}

// ReportCount implements tally.CachedCount; the value is an increase.
func (s *series) ReportCount(value int64) {
	s.change(func(old float64) float64 { return old + float64(value) })
}

// ReportGauge implements tally.CachedGauge.
func (s *series) ReportGauge(value float64) {
	s.change(func(float64) float64 { return value })
}

// ReportSamples implements tally.CachedHistogramBucket.
func (s *series) ReportSamples(value int64) { s.ReportCount(value) }

// ReportTimer implements tally.CachedTimer.
func (t timer) ReportTimer(d time.Duration) {
	t.count.ReportCount(1)
	t.sum.change(func(old float64) float64 { return old + d.Seconds() })
}

// AllocateCounter implements tally.CachedStatsReporter.
func (r *Register) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return r.add(name, KindCounter, tags)
}

// AllocateGauge implements tally.CachedStatsReporter.
func (r *Register) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return r.add(name, KindGauge, tags)
}

// AllocateTimer implements tally.CachedStatsReporter.
func (r *Register) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return timer{count: r.add(name+".count", KindCounter, tags), sum: r.add(name+".seconds", KindCounter, tags)}
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (r *Register) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return histogram{register: r, name: name, tags: tags}
}

func (h histogram) bucket(upper string) tally.CachedHistogramBucket {
	tags := map[string]string{"up-to": upper}
	for k, v := range h.tags {
		tags[k] = v
	}
	return h.register.add(h.name+".samples", KindCounter, tags)
}

// ValueBucket implements tally.CachedHistogram.
func (h histogram) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	return h.bucket(fmt.Sprint(upper))
}

// DurationBucket implements tally.CachedHistogram.
func (h histogram) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	return h.bucket(upper.String())
}

// Capabilities implements tally.BaseStatsReporter.
func (r *Register) Capabilities() tally.Capabilities { return r }

// Reporting implements tally.Capabilities.
func (r *Register) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (r *Register) Tagging() bool { return true }

// Flush implements tally.BaseStatsReporter; pages read what is there.
func (r *Register) Flush() {}
