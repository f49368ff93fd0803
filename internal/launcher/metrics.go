package launcher

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/dispatcher"
	"github.com/oriolegw/oriolegw/internal/reporter"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/uber-go/tally/v4"
)

const (
	metricPrefix    = "entry."
	metricOpened    = metricPrefix + "connections-opened"
	metricFailed    = metricPrefix + "connections-failed"
	metricLost      = metricPrefix + "connections-lost"
	metricRefused   = metricPrefix + "refused."
	metricRetried   = metricPrefix + "tried-again."
	metricServed    = metricPrefix + "served-seconds."
	metricCallers   = metricPrefix + "callers"
	metricVersion   = metricPrefix + "configuration-version"
	metricDropped   = metricPrefix + "log-lines-dropped"
	metricHeld      = metricPrefix + "connections"
	metricLentKept  = metricPrefix + "lent-kept"
	metricLentNew   = metricPrefix + "lent-opened"
	metricKeys      = metricPrefix + "keys"
	metricAccounts  = metricPrefix + "customers"
	metricWaiting   = metricPrefix + "requests-waiting"
	kindOfHistogram = "histogram"
)

var (
	// ruleNames name the kinds of routes in metrics.
	ruleNames = map[tracker.Rule]string{tracker.RulePrimary: "primary", tracker.RuleBounded: "bounded", tracker.RuleReadYourWrites: "own-writes"}

	// latencyBuckets go from a read beside the instance, 10 ms, to a statement's longest
	// timeout, 3 s.
	latencyBuckets = tally.DurationBuckets{
		10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
		400 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second,
	}
)

// Metrics lists the metrics of an entry instance on the platform.
func Metrics() []reporter.Metric {
	list := []reporter.Metric{
		{Name: metricPrefix + dispatcher.CountAccepted, Kind: reporter.KindCounter, Text: "Callers that connected."},
		{Name: metricPrefix + dispatcher.CountMalformed, Kind: reporter.KindCounter, Text: "Callers whose first message could not be understood."},
		{Name: metricPrefix + dispatcher.CountCut, Kind: reporter.KindCounter, Text: "Callers whose connection broke; part=request of=session outcome=caller-cut has their last request. Alert when it grows by a tenth of the callers within a second."},
		{Name: metricLost, Kind: reporter.KindCounter, Text: "Idle connections to members, or lent ones between two statements, that were found broken. Alert as above."},
		{Name: metricPrefix + dispatcher.CountStatements, Kind: reporter.KindCounter, Text: "Statements that callers sent."},
		{Name: metricOpened, Kind: reporter.KindCounter, Text: "Connections to members that were opened."},
		{Name: metricFailed, Kind: reporter.KindCounter, Text: "Connections to members that could not be opened, or were refused. Alert when it grows faster than a few a second."},
		{Name: metricLentKept, Kind: reporter.KindCounter, Text: "Connections to members that were lent to callers' work and had been open before, of the right customer."},
		{Name: metricLentNew, Kind: reporter.KindCounter, Text: "Connections that were opened for the work they were lent to. Alert when it grows by half as much as lent-kept for a minute: members spend their slots on openings."},
		{Name: metricAccounts, Kind: reporter.KindGauge, Text: "Customers of the configuration in force; 0 where callers are not told apart."},
		{Name: metricKeys, Kind: reporter.KindGauge, Text: "Keys that the customers hold together."},
		{Name: metricCallers, Kind: reporter.KindGauge, Text: "Callers that are connected now."},
		{Name: metricVersion, Kind: reporter.KindGauge, Text: "Version of the configuration in force; 0 is none. Alert when instances differ for more than 3 s."},
		{Name: metricDropped, Kind: reporter.KindGauge, Text: "Log lines that were dropped since the start."},
		{Name: metricHeld, Kind: reporter.KindGauge, Text: "Connections to members, over all groups."},
		{Name: metricWaiting, Kind: reporter.KindGauge, Text: "Requests that wait for a connection. Alert when it stays above 20 for a second."},
	}
	for _, n := range ruleNames {
		list = append(list, reporter.Metric{Name: metricServed + n, Kind: kindOfHistogram, Text: "Time from reading a statement to its answer, by the route's kind."})
	}
	for _, r := range dispatcher.Reasons {
		list = append(list,
			reporter.Metric{Name: metricRefused + string(r.Reason), Kind: reporter.KindCounter, Text: "Statements refused or aborted. " + r.Text},
			reporter.Metric{Name: metricRetried + string(r.Reason), Kind: reporter.KindCounter, Text: "Tries that were followed by another. " + r.Text},
		)
	}
	return list
}

// declareMetrics makes all metrics, so that they show from the start.
func (i *Instance) declareMetrics() {
	i.served = map[tracker.Rule]tally.Histogram{}
	for r, n := range ruleNames {
		i.served[r] = i.metrics.Histogram(metricServed+n, latencyBuckets)
	}
	for _, m := range Metrics() {
		if m.Kind == reporter.KindCounter {
			i.metrics.Counter(m.Name)
		}
	}
	tags := map[string]string{reporter.TagInstance: i.Settings.Name}
	gauge := func(name string, read func() int64) {
		i.register.Watch(name, tags, func() float64 { return float64(read()) })
	}
	gauge(metricCallers, func() int64 { return int64(i.server.Sessions()) })
	gauge(metricDropped, i.Journal.Dropped)
	gauge(metricVersion, func() int64 {
		if c := i.configuration.Load(); c != nil {
			return c.Version
		}
		return 0
	})
	gauge(metricAccounts, func() int64 { n, _ := i.countCustomers(); return n })
	gauge(metricKeys, func() int64 { _, n := i.countCustomers(); return n })
	gauge(metricHeld, func() int64 { held, _ := i.load(); return held })
	gauge(metricWaiting, func() int64 { _, waiting := i.load(); return waiting })
}

// load sums the connections held, and the requests that wait, over all groups.
func (i *Instance) load() (held, waiting int64) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, b := range i.backends {
		open, _, w, _ := b.Pool.Stats()
		held += int64(open)
		waiting += int64(w)
	}
	return held, waiting
}
