package reserver_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/identifier"
	"github.com/oriolegw/oriolegw/internal/limiter"
	"github.com/oriolegw/oriolegw/internal/reserver"
	"github.com/shoenig/test/must"
)

const (
	step   = 2 * time.Millisecond
	window = 5 * time.Second
	// maxRetries is how often a caller retries.
	maxRetries = 2
)

var (
	seeds     = flag.Int("seeds", 12, "number of simulation seeds")
	tolerance = limiter.Tolerance{Window: window, Overage: 0.1, Slack: 20}
	limits    = []identifier.Limit{{PerSecond: 117, Burst: 117}, {PerSecond: 20, Burst: 20}, {PerSecond: 3, Burst: 3}}
	// waits are how long requests of each class may wait: 0.8 of objectives of 400, 800 and 2,000 ms.
	waits = []time.Duration{320 * time.Millisecond, 640 * time.Millisecond, 1600 * time.Millisecond}
	// mix is the usual fleet.mix.
	mix = []float64{1.0 / 16, 4.0 / 16, 11.0 / 16}
)

type (
	// fleet simulates one customer's callers and instances. Callers retry when they are told.
	fleet struct {
		random   *rand.Rand
		now      limiter.Timestamp
		limit    identifier.Limit
		accounts *limiter.Ledger
		nodes    []*node
		events   map[limiter.Timestamp][]func()
		// accountantDown and loss are faults: no replies, and the probability that a message is lost.
		accountantDown bool
		loss           float64
		// mix is the share of each class in the demand.
		mix []float64
		// ran and asked count admitted and requested operations by step.
		ran, asked []int
		// arrived, admitted and refused count by class; retried and retriedAdmitted count retries
		// for which capacity was reserved.
		arrived, admitted, refused [3]int
		retried, retriedAdmitted   int
		// retryAfters counts refusals by their retry delay, unreserved those without a reservation.
		retryAfters map[time.Duration]int
		unreserved  int
		// atOnce counts requests that were refused without a wait.
		atOnce int
	}

	node struct {
		meter       *limiter.Meter
		reserver    *reserver.Reserver
		incarnation uint64
		sentAt      limiter.Timestamp
		awaiting    bool
		waiting     []*request
		paused      bool
	}

	request struct {
		*reserver.Ticket
		attempt int
		// reserved is set for a retry for which capacity was reserved.
		reserved bool
	}
)

func newFleet(seed uint64, nodes int, limit identifier.Limit) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 0)), now: time.Hour, limit: limit, events: map[limiter.Timestamp][]func(){}, retryAfters: map[time.Duration]int{}, mix: mix}
	for n := range nodes {
		f.nodes = append(f.nodes, &node{})
		f.restart(n)
	}
	f.accounts = f.newLedger()
	return f
}

func (f *fleet) newLedger() *limiter.Ledger {
	return &limiter.Ledger{Incarnation: f.random.Uint64(), Tolerance: tolerance, ExpectedInstances: func() (names []string) {
		for n := range f.nodes {
			names = append(names, fmt.Sprint("i", n))
		}
		return names
	}}
}

func (f *fleet) restart(n int) {
	x := f.nodes[n]
	*x = node{incarnation: x.incarnation + 1}
	x.meter = &limiter.Meter{Instance: fmt.Sprint("i", n), Incarnation: x.incarnation, Instances: func() int { return len(f.nodes) }, ReportExpected: func() bool { return true }}
	x.reserver = &reserver.Reserver{Meter: x.meter}
}

func (f *fleet) after(d time.Duration, event func()) {
	at := f.now + max(step, d.Truncate(step))
	f.events[at] = append(f.events[at], event)
}

// latency returns the latency of a message between instances.
func (f *fleet) latency() time.Duration {
	return step + time.Duration(f.random.IntN(5))*step
}

// run simulates a period with the given demand per second of all instances, by the shares of mix.
func (f *fleet) run(duration time.Duration, perSecond float64) {
	for end := f.now + duration; f.now < end; f.now += step {
		f.ran, f.asked = append(f.ran, 0), append(f.asked, 0)
		for _, event := range f.events[f.now] {
			event()
		}
		delete(f.events, f.now)
		for class, share := range f.mix {
			for want := perSecond * share * step.Seconds(); want > 0; want-- {
				if f.random.Float64() < want {
					f.request(f.random.IntN(len(f.nodes)), class, 0, false)
				}
			}
		}
		for n, x := range f.nodes {
			if x.paused {
				continue
			}
			for _, r := range x.waiting {
				if f.now >= r.Deadline() {
					f.advance(x)
					break
				}
			}
			if f.now%(20*step) == 0 {
				f.advance(x)
			}
			f.report(n, x)
		}
	}
}

func (f *fleet) request(n, class, attempt int, reserved bool) {
	x := f.nodes[n]
	if x.paused {
		return
	}
	f.arrived[class]++
	f.asked[len(f.asked)-1]++
	t := x.reserver.Request(f.now, "c", f.limit, reserver.Operation{Class: class, LatestStart: f.now + waits[class]})
	r := &request{Ticket: t, attempt: attempt, reserved: reserved}
	x.waiting = append(x.waiting, r)
	f.settle(n)
}

// settle processes the decided requests of a node.
func (f *fleet) settle(n int) {
	x := f.nodes[n]
	waiting := x.waiting
	x.waiting = nil
	for _, r := range waiting {
		if r.Outcome == reserver.Waiting {
			x.waiting = append(x.waiting, r)
			continue
		}
		if r.reserved {
			f.retried++
		}
		if r.Outcome == reserver.Admitted {
			f.ran[len(f.ran)-1]++
			f.admitted[r.Class]++
			if r.reserved {
				f.retriedAdmitted++
			}
			continue
		}
		f.refused[r.Class]++
		f.retryAfters[r.Refusal.RetryAfter]++
		if !r.Refusal.Reserved {
			f.unreserved++
		}
		if r.Refusal.Waited == 0 {
			f.atOnce++
		}
		if r.attempt < maxRetries {
			f.after(r.Refusal.RetryAfter+f.latency(), func() { f.request(n, r.Class, r.attempt+1, r.Refusal.Reserved) })
		}
	}
}

func (f *fleet) advance(x *node) {
	x.reserver.Advance(f.now, func(string) identifier.Limit { return f.limit })
	for n := range f.nodes {
		if f.nodes[n] == x {
			f.settle(n)
		}
	}
}

func (f *fleet) report(n int, x *node) {
	if x.awaiting && f.now-x.sentAt < 300*time.Millisecond {
		return
	}
	due, soon := x.meter.Due(f.now)
	if !due || !soon && f.now-x.sentAt < limiter.ReportInterval || f.now-x.sentAt < 10*time.Millisecond {
		return
	}
	r, incarnation, sent := x.meter.NextReport(f.now), x.incarnation, f.now
	x.awaiting, x.sentAt = true, f.now
	if f.random.Float64() < f.loss {
		return
	}
	f.after(f.latency(), func() {
		if f.accountantDown {
			return
		}
		reply := f.accounts.HandleReport(f.now, r, func(string) identifier.Limit { return f.limit })
		if f.random.Float64() < f.loss {
			return
		}
		f.after(f.latency(), func() {
			if x.incarnation == incarnation && x.awaiting && x.sentAt == sent && !x.paused {
				x.awaiting = false
				x.meter.HandleReply(sent, reply)
				f.advance(x)
			}
		})
	})
}

func sum(list []int) (n int) {
	for _, x := range list {
		n += x
	}
	return n
}

// overload returns a fleet after 20 s of demand, a multiple of what the limit allows, and the first
// step of the demand.
func overload(seed uint64, nodes int, limit identifier.Limit, demand float64) (f *fleet, first int) {
	f = newFleet(seed, nodes, limit)
	f.run(3*time.Second, 0)
	first = len(f.ran)
	f.run(20*time.Second, demand*allowed(limit))
	return f, first
}

// allowed returns the operations per second that a limit allows in the long run.
func allowed(l identifier.Limit) float64 { return l.PerSecond + l.Burst/window.Seconds() }

// Guards against a limit that is not used although there is demand, gaps, retries at the stated
// time that are refused again, refusals of the most urgent class while the limit suffices for it,
// and starvation of the least urgent one.
func TestAtTheLimit(t *testing.T) {
	bounds := map[string]func(f *fleet, first int) string{
		"windows": func(f *fleet, first int) string { return f.checkWindows(first, 0.95) },
		"seconds": (*fleet).checkSeconds,
		"retries": func(f *fleet, _ int) string {
			return atLeast("admitted of the retries with a reservation", float64(f.retriedAdmitted), 0.9*float64(f.retried))
		},
		"urgent": func(f *fleet, _ int) string { return atLeast("not refused of class 0", -float64(f.refused[0]), 0) },
		"lowest": func(f *fleet, _ int) string {
			return atLeast("admitted of class 2", float64(f.admitted[2]), min(0.05*allowed(f.limit)*20, float64(f.arrived[2])))
		},
	}
	for _, l := range limits {
		for _, demand := range []float64{0.5, 1.2, 2, 4, 8} {
			t.Run(fmt.Sprintf("%v-per-second-demand-%v", l.PerSecond, demand), func(t *testing.T) {
				var fleets []*fleet
				var first int
				for _, nodes := range []int{1, 8, 24, 71} {
					var f *fleet
					f, first = overload(1, nodes, l, demand)
					f.checkUpperBound(t, 0)
					fleets = append(fleets, f)
				}
				for name, check := range bounds {
					t.Run(name, func(t *testing.T) {
						for _, f := range fleets {
							if problem := check(f, first); problem != "" {
								t.Errorf("%d instances: %s", len(f.nodes), problem)
							}
						}
					})
				}
			})
		}
	}
}

// atLeast returns a message if a value is below a bound.
func atLeast(what string, got, want float64) string {
	if got >= want {
		return ""
	}
	return fmt.Sprintf("%s: %.2f, want at least %.2f", what, got, want)
}

// checkUpperBound fails the test if a window from a step on exceeds the limit and the tolerance.
func (f *fleet) checkUpperBound(t *testing.T, from int) {
	t.Helper()
	most := (f.limit.PerSecond*window.Seconds()+f.limit.Burst)*(1+tolerance.Overage) + tolerance.Slack
	for i := from; i+int(window/step) <= len(f.ran); i++ {
		must.LessEq(t, most, float64(sum(f.ran[i:i+int(window/step)])), must.Sprint("window at step ", i))
	}
}

// checkWindows checks that no window with demand throughout has less than a fraction of the limit.
// Of the windows that overlap the first burst, only the first may have the burst.
func (f *fleet) checkWindows(first int, fraction float64) string {
	width := int(window / step)
	for i := first; i+width <= len(f.ran); i++ {
		if i == first+1 {
			i = first + width
		}
		if f.demanded(i, i+width) {
			if problem := atLeast(fmt.Sprint("window at step ", i), float64(sum(f.ran[i:i+width])), fraction*allowed(f.limit)*window.Seconds()); problem != "" {
				return problem
			}
		}
	}
	return ""
}

// checkSeconds checks that no second with demand has less than 0.7 of the mean.
func (f *fleet) checkSeconds(first int) string {
	from, second := first+int(window/step), int(time.Second/step)
	mean := float64(sum(f.ran[from:])*second) / float64(len(f.ran)-from)
	for i := from; i+second <= len(f.ran); i++ {
		if f.demanded(i-second, i+second) {
			if problem := atLeast(fmt.Sprint("second at step ", i), float64(sum(f.ran[i:i+second])), 0.7*mean); problem != "" {
				return problem
			}
		}
	}
	return ""
}

// demanded reports whether what the limit allows was requested in each second between two steps.
func (f *fleet) demanded(from, to int) bool {
	second := int(time.Second / step)
	for i := from; i+second <= to; i += second / 4 {
		if float64(sum(f.asked[i:i+second])) < allowed(f.limit) {
			return false
		}
	}
	return true
}

// Guards against a retry time that is a constant, and against promising capacity that is reserved
// already: then the refusal names the end of the horizon.
func TestAllCapacityReserved(t *testing.T) {
	f, _ := overload(1, 8, limits[1], 8)
	must.Positive(t, f.unreserved)
	must.Eq(t, f.unreserved, f.retryAfters[5*time.Second])
	for after, n := range f.retryAfters {
		if after != 5*time.Second {
			must.Less(t, (sum(f.refused[:])-f.unreserved)/4, n, must.Sprint(after))
		}
	}
}

// Guards against requests that wait although they can't be admitted in time.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	f, _ := overload(1, 8, limits[0], 8)
	must.GreaterEq(t, 0.95*float64(sum(f.refused[:])), float64(f.atOnce))
}

// Guards against starvation of the least urgent class by a most urgent one that exceeds the limit
// alone.
func TestMostUrgentClassLeavesFloor(t *testing.T) {
	f := newFleet(1, 8, limits[0])
	f.mix = []float64{0.75, 0, 0.25}
	f.run(20*time.Second, 4*allowed(f.limit))
	must.GreaterEq(t, 0.05*allowed(f.limit)*20, float64(f.admitted[2]))
	must.GreaterEq(t, 0.8*allowed(f.limit)*20, float64(f.admitted[0]))
}

// Guards against leases and usage that are lost with a report or its reply.
func TestReportsAndRepliesLost(t *testing.T) {
	for _, lost := range []float64{0.02, 0.2} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			f := newFleet(1, 24, limits[0])
			f.loss = lost
			first := len(f.ran)
			f.run(20*time.Second, 4*allowed(f.limit))
			f.checkUpperBound(t, 0)
			must.Eq(t, "", f.checkWindows(first, 0.8))
		})
	}
}

// Guards against requests that wait beyond their latest start, or a limit that isn't used, when the
// accountant dies while requests wait and another one follows after 3 s.
func TestAccountantDies(t *testing.T) {
	f, _ := overload(1, 24, limits[0], 2)
	f.accountantDown = true
	before := sum(f.ran)
	f.run(3*time.Second, 2*allowed(f.limit))
	must.Positive(t, sum(f.ran)-before)
	for _, x := range f.nodes {
		_ = x.meter.SwitchAccountant(f.now)
		for _, r := range x.waiting {
			must.Greater(t, f.now-step, r.Deadline())
		}
	}
	f.accountantDown, f.accounts = false, f.newLedger()
	f.run(10*time.Second, 2*allowed(f.limit))
	f.checkUpperBound(t, 0)
	must.GreaterEq(t, 0.95*allowed(f.limit)*window.Seconds(), float64(sum(f.ran[len(f.ran)-int(window/step):])))
}

// Guards against refusing the retries of callers whose reservations were lost with the restart of
// an instance, and against counting its leases as unused.
func TestRestartWithOpenReservations(t *testing.T) {
	f, _ := overload(1, 8, limits[0], 2)
	admitted := f.retriedAdmitted
	f.restart(3)
	f.run(10*time.Second, 2*allowed(f.limit))
	f.checkUpperBound(t, 0)
	must.Positive(t, f.retriedAdmitted-admitted)
	must.Eq(t, "", f.checkWindows(len(f.ran)-2*int(window/step), 0.95))
}

// Guards against admitting requests whose latest start passed while the clock or the process was
// paused, and against reservations that stay usable after their time slot.
func TestClockPause(t *testing.T) {
	f, _ := overload(1, 8, limits[1], 8)
	x := f.nodes[2]
	waiting := x.waiting
	must.Positive(t, len(waiting))
	f.now += 7 * time.Second
	f.advance(x)
	for _, r := range waiting {
		must.Eq(t, reserver.Refused, r.Outcome)
	}
	before := x.reserver.Stats().Reserved
	t0 := x.reserver.Request(f.now, "c", f.limit, reserver.Operation{Class: 1, LatestStart: f.now + waits[1]})
	must.Eq(t, before, x.reserver.Stats().Reserved, must.Sprint(t0.Outcome))
}

// Guards against a lowered limit that waiting requests exceed, and a raised one that they don't use.
func TestLimitChangesWhileRequestsWait(t *testing.T) {
	f, _ := overload(1, 8, limits[0], 2)
	f.limit = limits[1]
	f.run(window, 2*allowed(limits[0]))
	lowered := len(f.ran)
	f.run(10*time.Second, 2*allowed(limits[0]))
	f.checkUpperBound(t, lowered)
	f.limit = limits[0]
	raised := sum(f.ran)
	f.run(2*time.Second, 2*allowed(limits[0]))
	must.GreaterEq(t, 0.95*2*limits[0].PerSecond, float64(sum(f.ran)-raised))
}

// Guards against exceeding the limit when admission by class and reservations meet lost messages,
// restarts, pauses and accountant failovers.
func TestUpperBoundUnderFaults(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFleet(seed, 8+int(seed%3)*8, limits[seed%uint64(len(limits))])
			f.loss = 0.02
			for range 8 {
				x := f.nodes[f.random.IntN(len(f.nodes))]
				switch f.random.IntN(5) {
				case 0:
					f.restart(f.random.IntN(len(f.nodes)))
				case 1:
					x.paused = true
				case 2:
					x.paused = false
				case 3:
					f.accountantDown = true
				case 4:
					f.accountantDown, f.accounts = false, f.newLedger()
					for _, x := range f.nodes {
						_ = x.meter.SwitchAccountant(f.now)
					}
				}
				f.run(time.Duration(500+f.random.IntN(3000))*time.Millisecond, []float64{0, 0.6, 1, 2, 5, 8}[f.random.IntN(6)]*allowed(f.limit))
			}
			f.checkUpperBound(t, 0)
		})
	}
}

// Guards against an operators' page that changes reservations, or that shows another retry time than
// the next refused caller is told.
func TestSchedulesShowNextRetryTime(t *testing.T) {
	f, _ := overload(1, 8, limits[1], 8)
	x := f.nodes[2]
	list := x.reserver.Schedules(f.now)
	must.Len(t, 1, list)
	must.Eq(t, list, x.reserver.Schedules(f.now))
	must.Positive(t, sum(list[0].Reserved[:]))
	must.GreaterEq(t, 0, list[0].NextDue)
	refused := x.reserver.Request(f.now, "c", f.limit, reserver.Operation{Class: 2, LatestStart: f.now})
	must.Eq(t, reserver.Refused, refused.Outcome)
	must.Between(t, list[0].RetryAfter[2], refused.Refusal.RetryAfter, list[0].RetryAfter[2]+time.Millisecond)
}
