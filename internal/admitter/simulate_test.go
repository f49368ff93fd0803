package admitter_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/admitter"
	"github.com/shoenig/test/must"
)

type (
	// simulation runs arrivals against a queue and targets with a number of execution slots,
	// in virtual time.
	simulation struct {
		queue *admitter.Queue
		slots int
		// serviceTime returns how long a statement runs, by its start.
		serviceTime  func(at time.Duration, r admitter.Request) time.Duration
		events       events
		slotsFreeAt  map[string][]time.Duration // when each slot is free
		submissions  map[uint64]submission
		results      map[string]*customerResults
		peakInFlight map[string]int
		inFlight     map[string]int
		nextID       uint64
	}

	submission struct {
		request admitter.Request
		arrived time.Duration
	}

	// customerResults collects the outcomes of a customer's requests.
	customerResults struct {
		latencies  []time.Duration
		refused    map[string]int
		retryAfter []time.Duration
	}

	event struct {
		at       time.Duration
		sequence int
		action   func()
	}

	events []event
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].sequence < e[j].sequence)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newSimulation(capacity, slots int, work time.Duration) *simulation {
	return &simulation{
		queue: &admitter.Queue{Capacity: capacity, Random: rand.New(rand.NewPCG(1, 1))},
		slots: slots,
		serviceTime: func(time.Duration, admitter.Request) time.Duration {
			return work
		},
		slotsFreeAt: map[string][]time.Duration{}, submissions: map[uint64]submission{}, results: map[string]*customerResults{},
		peakInFlight: map[string]int{}, inFlight: map[string]int{},
	}
}

func (s *simulation) schedule(d time.Duration, do func()) {
	heap.Push(&s.events, event{at: d, sequence: len(s.events) + int(s.nextID)<<20, action: do})
}

// submit schedules one request.
func (s *simulation) submit(at time.Duration, customer string, class admitter.Class, target string) {
	s.nextID++
	r := admitter.Request{ID: s.nextID, Customer: customer, Class: class, Target: target, Deadline: epoch.Add(at + 10*time.Second)}
	s.schedule(at, func() {
		s.submissions[r.ID] = submission{request: r, arrived: at}
		s.applyDecisions(at, s.queue.Enqueue(epoch.Add(at), r))
	})
}

// submitPeriodically schedules requests at a fixed interval.
func (s *simulation) submitPeriodically(from, to, interval time.Duration, customer string, class admitter.Class) {
	for at := from; at < to; at += interval {
		s.submit(at, customer, class, "primary")
	}
}

func (s *simulation) resultsOf(name string) *customerResults {
	c := s.results[name]
	if c == nil {
		c = &customerResults{refused: map[string]int{}}
		s.results[name] = c
	}
	return c
}

func (s *simulation) applyDecisions(now time.Duration, decisions []admitter.Decision) {
	for _, d := range decisions {
		x := s.submissions[d.ID]
		if d.Refusal != nil {
			c := s.resultsOf(x.request.Customer)
			c.refused[d.Refusal.Reason.Name]++
			c.retryAfter = append(c.retryAfter, d.Refusal.RetryDelay())
			continue
		}
		s.start(now, x)
	}
}

// start runs a request in the first slot that becomes free at its target.
func (s *simulation) start(now time.Duration, x submission) {
	r := x.request
	if s.slotsFreeAt[r.Target] == nil {
		s.slotsFreeAt[r.Target] = make([]time.Duration, s.slots)
	}
	free := s.slotsFreeAt[r.Target]
	slices.Sort(free)
	begin := max(free[0], now)
	end := begin + s.serviceTime(begin, r)
	free[0] = end
	s.inFlight[r.Target]++
	s.peakInFlight[r.Target] = max(s.peakInFlight[r.Target], s.inFlight[r.Target])
	s.schedule(end, func() {
		s.inFlight[r.Target]--
		s.resultsOf(r.Customer).latencies = append(s.resultsOf(r.Customer).latencies, end-x.arrived)
		s.applyDecisions(end, s.queue.Finish(epoch.Add(end), r.ID, admitter.Outcome{Held: end - now}))
	})
}

// run processes the events and expires deadlines every 10 ms.
func (s *simulation) run(until time.Duration) {
	for at := time.Duration(0); at < until; at += 10 * time.Millisecond {
		s.schedule(at, func() { s.applyDecisions(at, s.queue.Expire(epoch.Add(at))) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > until {
			return
		}
		e.action()
	}
}

func (c *customerResults) percentile(p float64) time.Duration {
	l := slices.Clone(c.latencies)
	slices.Sort(l)
	return l[min(len(l)-1, int(p*float64(len(l))))]
}

func (c *customerResults) refusals() int {
	n := 0
	for _, k := range c.refused {
		n += k
	}
	return n
}

func mustServeAll(t *testing.T, c *customerResults, n int) {
	t.Helper()
	must.Eq(t, n, len(c.latencies), must.Sprintf("refused: %v", c.refused))
	must.Eq(t, 0, c.refusals())
}

func mustLatencyWithin(t *testing.T, c *customerResults, p float64, limit time.Duration) {
	t.Helper()
	must.LessEq(t, limit, c.percentile(p), must.Sprintf("percentile %v", p))
}

func mustRetryAfterInRange(t *testing.T, c *customerResults) {
	t.Helper()
	for _, d := range c.retryAfter {
		must.Between(t, time.Millisecond, d, 8*time.Second)
	}
}
