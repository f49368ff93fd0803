package launcher

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/accountant"
	"github.com/oriolegw/oriolegw/internal/balancer"
	"github.com/oriolegw/oriolegw/internal/dispatcher"
	"github.com/oriolegw/oriolegw/internal/forecaster"
	"github.com/oriolegw/oriolegw/internal/forwarder"
	"github.com/oriolegw/oriolegw/internal/reporter"
	"github.com/oriolegw/oriolegw/internal/reserver"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/uber-go/tally/v4"
)

const (
	metricPrefix         = "entry."
	metricOpened         = metricPrefix + "connections-opened"
	metricConnectFailed  = metricPrefix + "connections-failed"
	metricIdleLost       = metricPrefix + "connections-lost"
	metricRefused        = metricPrefix + "refused."
	metricWaitRefused    = metricPrefix + "wait-refused."
	metricRetried        = metricPrefix + "tried-again."
	metricServed         = metricPrefix + "served-seconds."
	metricCallers        = metricPrefix + "callers"
	metricVersion        = metricPrefix + "configuration-version"
	metricDropped        = metricPrefix + "log-lines-dropped"
	metricConnections    = metricPrefix + "connections"
	metricCheckoutReused = metricPrefix + "lent-kept"
	metricCheckoutOpened = metricPrefix + "lent-opened"
	metricKeys           = metricPrefix + "keys"
	metricCustomers      = metricPrefix + "customers"
	metricWaiting        = metricPrefix + "requests-waiting"
	metricGroups         = metricPrefix + "groups"
	metricRankings       = metricPrefix + "holder-rankings"
	metricPlaced         = metricPrefix + "reads-placed."
	metricLoadsRejected  = metricPrefix + "loads-rejected"
	metricMoves          = metricPrefix + "connections-moved"
	metricMovedNow       = metricPrefix + "connections-moved-now"
	metricReadsMoved     = metricPrefix + "reads-to-kept"
	metricLoad           = metricPrefix + "load-milli"
	metricWaited         = metricPrefix + "served-after-wait"
	metricLate           = metricPrefix + "served-late"
	kindHistogram        = "histogram"

	metricLimitPrefix           = metricPrefix + "limit-"
	metricLimitWaited           = metricLimitPrefix + "waited"
	metricLimitReservationsUsed = metricLimitPrefix + "reservations-used"
	metricLimitRefusedAtOnce    = metricLimitPrefix + "refused-at-once"
	metricLimitRefusedAfterWait = metricLimitPrefix + "refused-after-wait"
	metricLimitNotReserved      = metricLimitPrefix + "not-reserved"
)

var (
	// ruleNames holds the names of the route kinds in metrics.
	ruleNames = map[tracker.Rule]string{tracker.RulePrimary: "primary", tracker.RuleBounded: "bounded", tracker.RuleReadYourWrites: "own-writes"}

	// waitCauseTexts describe the causes of refused waits.
	waitCauseTexts = map[forecaster.Cause]string{
		forecaster.CauseQueue:          "Requests with a latency objective refused at once because the queue for a connection does not drain before their deadline. Alert when it grows by a hundredth of the statements for 10 s.",
		forecaster.CausePathDown:       "Requests with a latency objective refused at once because no eligible member is reachable, directly or through other instances.",
		forecaster.CausePrimaryUnknown: "Requests with a latency objective refused at once because the primary has been unknown for longer than a failover takes.",
		forecaster.CauseHolder:         "Requests with a latency objective refused at once because the instance that holds the connections expects to serve them after their deadline; its log has the cause.",
		forecaster.CauseTimeout:        "Requests with a latency objective that waited for a connection until their deadline.",
	}

	// latencyBuckets span from a read in the same zone to the longest statement timeout.
	latencyBuckets = tally.DurationBuckets{
		10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
		400 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second,
	}
)

// Metrics returns the metrics of an entry instance on the hosting platform.
func Metrics() []reporter.Metric {
	list := []reporter.Metric{
		{Name: metricPrefix + dispatcher.CountAccepted, Kind: reporter.KindCounter, Description: "Callers that connected."},
		{Name: metricPrefix + dispatcher.CountMalformed, Kind: reporter.KindCounter, Description: "Callers whose first message was malformed."},
		{Name: metricPrefix + dispatcher.CountAwaited, Kind: reporter.KindCounter, Description: "Callers whose session start waited for the first configuration, for at most 1 s. It grows only within the first seconds of an instance."},
		{Name: metricPrefix + dispatcher.CountDisconnected, Kind: reporter.KindCounter, Description: "Callers whose connection broke. Log lines with part=request of=session outcome=caller-cut show their last request. Alert when it grows by a tenth of the callers within a second."},
		{Name: metricIdleLost, Kind: reporter.KindCounter, Description: "Connections to members that broke while idle or between two statements. Alert when it grows by a tenth of the callers within a second."},
		{Name: metricPrefix + dispatcher.CountStatements, Kind: reporter.KindCounter, Description: "Statements that callers sent."},
		{Name: metricOpened, Kind: reporter.KindCounter, Description: "Connections to members that were opened."},
		{Name: metricConnectFailed, Kind: reporter.KindCounter, Description: "Connections to members that could not be opened, or were refused. Alert when it grows faster than a few a second."},
		{Name: metricCheckoutReused, Kind: reporter.KindCounter, Description: "Checkouts for callers' work that reused an open connection of the same customer."},
		{Name: metricCheckoutOpened, Kind: reporter.KindCounter, Description: "Checkouts for callers' work that opened a connection. Alert when it grows by half as much as lent-kept for a minute: members then spend their slots on connection setup."},
		{Name: metricCustomers, Kind: reporter.KindGauge, Description: "Customers in the configuration in force; 0 where callers are not assigned to customers."},
		{Name: metricKeys, Kind: reporter.KindGauge, Description: "Keys of all customers."},
		{Name: metricCallers, Kind: reporter.KindGauge, Description: "Callers that are connected now."},
		{Name: metricVersion, Kind: reporter.KindGauge, Description: "Version of the configuration in force; 0 is none. Alert when instances differ for more than 3 s."},
		{Name: metricDropped, Kind: reporter.KindGauge, Description: "Log lines that were dropped since the start."},
		{Name: metricConnections, Kind: reporter.KindGauge, Description: "Connections to members, over all groups."},
		{Name: metricWaiting, Kind: reporter.KindGauge, Description: "Requests waiting for a connection. Alert when it stays above 20 for a second."},
	}
	list = append(list,
		reporter.Metric{Name: metricGroups, Kind: reporter.KindGauge, Description: "Groups whose state this instance keeps: those in use or, if few are configured, all."},
		reporter.Metric{Name: metricRankings, Kind: reporter.KindGauge, Description: "Rankings of instances as holders of connections since the start. It grows with the changes of instances and the groups in use."},
	)
	for _, o := range balancer.Outcomes {
		list = append(list, reporter.Metric{Name: metricPlaced + o.Outcome.String(), Kind: reporter.KindCounter, Description: "Orders of the members for a read; a waiting read has several. " + o.Text})
	}
	list = append(list, reporter.Metric{Name: metricLoadsRejected, Kind: reporter.KindCounter, Description: "Loads of members received from instances that were invalid or of unknown members. Alert when it grows for a minute; event=load-rejected names the cause."})
	list = append(list,
		reporter.Metric{Name: metricPrefix + forwarder.CountLoanRefused, Kind: reporter.KindCounter, Description: "Requests refused without asking the instance that holds the connections, since its queue was longer than they may wait. event=holder-not-asked shows the inputs."},
		reporter.Metric{Name: metricPrefix + forwarder.CountLoanElsewhere, Kind: reporter.KindCounter, Description: "Loans for a member other than the best one, since the queue for that one was too long."},
		reporter.Metric{Name: metricPrefix + forwarder.CountPressureRejected, Kind: reporter.KindCounter, Description: "Invalid queue lengths in replies of instances that hold connections. Alert when it grows for a minute; event=holder-queue-rejected names the instance."},
	)
	list = append(list,
		reporter.Metric{Name: metricWaited, Kind: reporter.KindCounter, Description: "Statements served after a wait of 50 ms or more for a connection or their customer's limit. oriolegwctl limits shows the customers."},
		reporter.Metric{Name: metricLate, Kind: reporter.KindCounter, Description: "Statements served after the latency objective of their route. oriolegwctl limits shows the customers and causes. Alert when it grows by a tenth of the statements for 10 s."},
	)
	list = append(list,
		reporter.Metric{Name: metricLimitWaited, Kind: reporter.KindGauge, Description: "Operations since the start that waited for a lease of their customer's limit."},
		reporter.Metric{Name: metricLimitReservationsUsed, Kind: reporter.KindGauge, Description: "Operations since the start that used capacity reserved for a retry."},
		reporter.Metric{Name: metricLimitRefusedAtOnce, Kind: reporter.KindGauge, Description: "Operations since the start refused by a limit without a wait, because they were not expected to be admitted in time."},
		reporter.Metric{Name: metricLimitRefusedAfterWait, Kind: reporter.KindGauge, Description: "Operations since the start refused by a limit after a wait. Alert when it grows faster than limit-refused-at-once: the estimates are wrong, or no accountant replies."},
		reporter.Metric{Name: metricLimitNotReserved, Kind: reporter.KindGauge, Description: "Refusals by a limit since the start for which no capacity could be reserved within the next 5 s."},
	)
	list = append(list,
		reporter.Metric{Name: metricMoves, Kind: reporter.KindCounter, Description: "Moves of a member's connections to another instance because of this instance's load, and back."},
		reporter.Metric{Name: metricMovedNow, Kind: reporter.KindGauge, Description: "Members whose connections this instance has handed over now because of its load."},
		reporter.Metric{Name: metricReadsMoved, Kind: reporter.KindGauge, Description: "Reads since the start that went to a member where a connection of their customer is kept, instead of opening one at the nearest."},
		reporter.Metric{Name: metricLoad, Kind: reporter.KindGauge, Description: "Used part of the CPU limit in thousandths; 0 where the limit is not known. Alert when it stays above 900 for 10 s."},
	)
	list = append(list,
		reporter.Metric{Name: metricPrefix + accountant.CountChanges, Kind: reporter.KindCounter, Description: "Changes of the instance that keeps the customers' accounts, the first choice included. A partition causes one, and so does its end. Alert when it grows by more than 3 in a minute."},
		reporter.Metric{Name: metricPrefix + accountant.CountUnanswered, Kind: reporter.KindCounter, Description: "Reports to the instance that keeps the customers' accounts that were not answered."},
		reporter.Metric{Name: metricPrefix + accountant.CountProbeFailed, Kind: reporter.KindCounter, Description: "Failed probes of instances that may keep the customers' accounts, or that don't report to this one."},
		reporter.Metric{Name: metricPrefix + accountant.CountDeaths, Kind: reporter.KindCounter, Description: "Instances that were found dead, so that no part of the limits is withheld for them any more."},
	)
	for _, n := range ruleNames {
		list = append(list, reporter.Metric{Name: metricServed + n, Kind: kindHistogram, Description: "Time from reading a statement to its response, by the route's kind."})
	}
	for _, c := range forecaster.Causes {
		list = append(list, reporter.Metric{Name: metricWaitRefused + string(c), Kind: reporter.KindCounter, Description: waitCauseTexts[c]})
	}
	for _, r := range dispatcher.Reasons {
		list = append(list,
			reporter.Metric{Name: metricRefused + string(r.Reason), Kind: reporter.KindCounter, Description: "Statements refused or aborted. " + r.Text},
			reporter.Metric{Name: metricRetried + string(r.Reason), Kind: reporter.KindCounter, Description: "Attempts that were retried. " + r.Text},
		)
	}
	return list
}

// declareMetrics creates all metrics, so that they are exported from the start.
func (i *Instance) declareMetrics() {
	i.placements = make([]tally.Counter, len(balancer.Outcomes))
	for _, o := range balancer.Outcomes {
		i.placements[o.Outcome] = i.metrics.Counter(metricPlaced + o.Outcome.String())
	}
	i.latencies = map[tracker.Rule]tally.Histogram{}
	for r, n := range ruleNames {
		i.latencies[r] = i.metrics.Histogram(metricServed+n, latencyBuckets)
	}
	for _, m := range Metrics() {
		if m.Kind == reporter.KindCounter {
			i.metrics.Counter(m.Name)
		}
	}
	tags := map[string]string{reporter.TagInstance: i.Settings.Name}
	gauge := func(name string, read func() int64) {
		i.metricsRegistry.AddGaugeFunc(name, tags, func() float64 { return float64(read()) })
	}
	gauge(metricCallers, func() int64 { return int64(i.server.SessionCount()) })
	gauge(metricDropped, i.LogWriter.Dropped)
	gauge(metricVersion, i.configurationVersion)
	gauge(metricCustomers, func() int64 { n, _ := i.countCustomers(); return n })
	gauge(metricKeys, func() int64 { _, n := i.countCustomers(); return n })
	gauge(metricGroups, func() int64 { return int64(i.backendCount()) })
	gauge(metricRankings, func() int64 {
		if i.peers == nil {
			return 0
		}
		return int64(i.peers.forwarder.RankingCount())
	})
	limitStats := func(read func(s reserver.Stats) int64) func() int64 {
		return func() int64 {
			if i.peers == nil {
				return 0
			}
			return read(i.peers.accountant.Reserver.Stats())
		}
	}
	gauge(metricLimitWaited, limitStats(func(s reserver.Stats) int64 { return s.Waited }))
	gauge(metricLimitReservationsUsed, limitStats(func(s reserver.Stats) int64 { return s.Reserved }))
	gauge(metricLimitRefusedAtOnce, limitStats(func(s reserver.Stats) int64 { return s.RefusedAtOnce }))
	gauge(metricLimitRefusedAfterWait, limitStats(func(s reserver.Stats) int64 { return s.RefusedAfterWait }))
	gauge(metricLimitNotReserved, limitStats(func(s reserver.Stats) int64 { return s.NotReserved }))
	gauge(metricReadsMoved, func() int64 {
		if i.peers == nil {
			return 0
		}
		return int64(i.peers.forwarder.ReadsMoved())
	})
	gauge(metricLoad, i.loadMilli.Load)
	gauge(metricMovedNow, func() int64 {
		if i.peers == nil {
			return 0
		}
		return int64(i.peers.forwarder.MovedCount())
	})
	gauge(metricConnections, func() int64 { held, _ := i.connectionLoad(); return held })
	gauge(metricWaiting, func() int64 { _, waiting := i.connectionLoad(); return waiting })
}

// connectionLoad returns the open connections and the waiting requests of all groups.
func (i *Instance) connectionLoad() (held, waiting int64) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, b := range i.backends {
		open, _, w, _ := b.Pool.Stats()
		held += int64(open)
		waiting += int64(w)
	}
	return held, waiting
}
