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
	// Metric describes a metric for docs/METRICS.md. Names are dotted; PrometheusName
	// converts them to Prometheus names.
	Metric struct {
		Name        string
		Kind        string
		Description string
	}

	// Registry collects the metrics of tally scopes and renders them in the
	// Prometheus text format. The zero value is ready for use. It implements
	// tally.CachedStatsReporter, so that counters are exposed at 0 once created.
	Registry struct {
		mutex  sync.Mutex
		series map[string]*series
	}

	series struct {
		registry *Registry
		name     string
		labels   string
		kind     string
		value    float64
		// read, when set, supplies the value each time the page is rendered.
		read func() float64
	}

	// timer has the count of the recorded times and their sum in seconds.
	timer struct{ count, sum *series }

	// histogram creates a series for each bucket.
	histogram struct {
		registry *Registry
		name     string
		tags     map[string]string
	}
)

// The kinds of metrics.
const (
	KindCounter = "counter"
	KindGauge   = "gauge"

	// GaugeCallers and GaugeVersion name the gauges. TagInstance labels all
	// metrics of an instance.
	GaugeCallers = "callers.open"
	GaugeVersion = "configuration.version"
	TagInstance  = "instance"

	// ReportInterval is the interval at which scopes report, and so the maximum
	// delay of the values on the page.
	ReportInterval = time.Second

	metricPrefix  = "oriolegw_"
	refusedPrefix = "refused."
)

// Metrics lists all metrics except the refusal counters, sorted by name. A test
// fails if a counter in the code is missing here.
var Metrics = []Metric{
	{"callers.accepted", KindCounter, "Callers that connected."},
	{"callers.cancels", KindCounter, "Connections that carried only a cancel request."},
	{"callers.failed", KindCounter, "Callers that were refused, violated the protocol or disconnected before their session started."},
	{GaugeCallers, KindGauge, "Callers currently connected."},
	{"cancels.failed", KindCounter, "Cancel requests that matched no running request or could not be forwarded."},
	{"configuration-rejected", KindCounter, "Published versions that the instance could not read; the previous version stayed in force."},
	{GaugeVersion, KindGauge, "Version of the configuration in force; 0 if there is none."},
	{"drain.cut", KindCounter, "Callers disconnected because they were still in a transaction at the drain timeout of the instance."},
	{"given-up.silent", KindCounter, "Requests abandoned because their connection to the target stopped responding while a new connection worked."},
	{"peer-failed.exchange", KindCounter, "Failed gossip exchanges with another instance."},
	{"peer-refused.connections", KindCounter, "Peer connections refused because the connection limit was reached."},
	{"peer-refused.foreign-fleet", KindCounter, "Peer connections refused because the peer belongs to another fleet."},
	{"peer-refused.handshake-timeout", KindCounter, "Peer connections refused because the handshake timed out."},
	{"peer-refused.unproved", KindCounter, "Peer connections refused because the peer failed to authenticate as a member of the fleet."},
	{"peer-refused.wire-version", KindCounter, "Peer connections refused because the peer has no common protocol version."},
	{"probe", KindCounter, "Probes on new connections to targets, sent because an open connection stopped responding."},
	{"retry.behind", KindCounter, "Reads retried on another target because the replica lagged behind the position that the request requires."},
	{"retry.connect", KindCounter, "Requests retried because no connection to the target could be opened; nothing had been sent."},
	{"retry.not-quiet", KindCounter, "Requests retried because the idle connection checked out for them was closed or had unread data; nothing had been sent."},
	{"retry.not-run", KindCounter, "Requests retried because the target ran no part of them: it was fenced or reported so."},
	{"retry.write", KindCounter, "Requests retried on the primary because a replica encountered a write that their text did not reveal."},
	{"target-leaving.list", KindCounter, "Notices that a target is leaving, from the platform's instance list."},
	{"target-leaving.operator", KindCounter, "Notices that a target is leaving, from the configuration document."},
	{"target-leaving.peer", KindCounter, "Notices that a target is leaving, from another instance."},
	{"target-leaving.target", KindCounter, "Notices that a target is leaving, from the target itself."},
}

// RefusalMetric returns the name of the counter of refusals with a reason.
func RefusalMetric(r *refuser.Reason) string { return refusedPrefix + r.Name }

// DeclareCounters creates every counter at 0. A counter that appeared only with its first
// event would show no increase for that event.
func DeclareCounters(s tally.Scope) {
	for _, r := range refuser.Reasons {
		s.Counter(RefusalMetric(r))
	}
	for _, m := range Metrics {
		if m.Kind == KindCounter {
			s.Counter(m.Name)
		}
	}
}

// NewScope creates a scope that reports to the registry until it is closed.
func (r *Registry) NewScope(tags map[string]string) (tally.Scope, io.Closer) {
	return tally.NewRootScope(tally.ScopeOptions{CachedReporter: r, Tags: tags, OmitCardinalityMetrics: true}, ReportInterval)
}

// AddGaugeFunc adds a gauge whose value is read whenever the page is rendered. The function
// must not use the registry, whose lock is held.
func (r *Registry) AddGaugeFunc(name string, tags map[string]string, read func() float64) {
	s := r.add(name, KindGauge, tags)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	s.read = read
}

func (r *Registry) add(name, kind string, tags map[string]string) *series {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.series == nil {
		r.series = map[string]*series{}
	}
	s := &series{registry: r, name: PrometheusName(name), labels: formatLabels(tags), kind: kind}
	if old := r.series[s.name+s.labels]; old != nil {
		return old
	}
	r.series[s.name+s.labels] = s
	return s
}

// PrometheusName returns the Prometheus name of a metric.
func PrometheusName(name string) string {
	return metricPrefix + strings.NewReplacer(".", "_", "-", "_").Replace(name)
}

func formatLabels(tags map[string]string) string {
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

// Render renders all metrics in the Prometheus text format.
func (r *Registry) Render() []byte {
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

func (s *series) update(compute func(old float64) float64) {
	s.registry.mutex.Lock()
	defer s.registry.mutex.Unlock()
	s.value = compute(s.value)
}

// ReportCount implements tally.CachedCount. The value is an increment.
func (s *series) ReportCount(value int64) {
	s.update(func(old float64) float64 { return old + float64(value) })
}

// ReportGauge implements tally.CachedGauge.
func (s *series) ReportGauge(value float64) {
	s.update(func(float64) float64 { return value })
}

// ReportSamples implements tally.CachedHistogramBucket.
func (s *series) ReportSamples(value int64) { s.ReportCount(value) }

// ReportTimer implements tally.CachedTimer.
func (t timer) ReportTimer(d time.Duration) {
	t.count.ReportCount(1)
	t.sum.update(func(old float64) float64 { return old + d.Seconds() })
}

// AllocateCounter implements tally.CachedStatsReporter.
func (r *Registry) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return r.add(name, KindCounter, tags)
}

// AllocateGauge implements tally.CachedStatsReporter.
func (r *Registry) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return r.add(name, KindGauge, tags)
}

// AllocateTimer implements tally.CachedStatsReporter.
func (r *Registry) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return timer{count: r.add(name+".count", KindCounter, tags), sum: r.add(name+".seconds", KindCounter, tags)}
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (r *Registry) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return histogram{registry: r, name: name, tags: tags}
}

func (h histogram) bucket(upper string) tally.CachedHistogramBucket {
	tags := map[string]string{"up-to": upper}
	for k, v := range h.tags {
		tags[k] = v
	}
	return h.registry.add(h.name+".samples", KindCounter, tags)
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
func (r *Registry) Capabilities() tally.Capabilities { return r }

// Reporting implements tally.Capabilities.
func (r *Registry) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (r *Registry) Tagging() bool { return true }

// Flush implements tally.BaseStatsReporter. There is nothing to flush.
func (r *Registry) Flush() {}
