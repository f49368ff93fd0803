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
	// simulation plays arrivals against a queue and targets that run a number
	// of statements at once. Time is a number.
	simulation struct {
		queue *admitter.Queue
		slots int
		// service returns how long a statement runs, by when it starts.
		service func(at time.Duration, r admitter.Request) time.Duration
		events  events
		targets map[string][]time.Duration // when each slot is free
		sent    map[uint64]sent
		seen    map[string]*seen
		most    map[string]int
		inside  map[string]int
		nextID  uint64
	}

	sent struct {
		request admitter.Request
		arrived time.Duration
	}

	// seen is what a customer's callers got.
	seen struct {
		latencies []time.Duration
		refused   map[string]int
		retry     []time.Duration
	}

	event struct {
		at     time.Duration
		number int
		do     func()
	}

	events []event
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].number < e[j].number)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func simulate(capacity, slots int, work time.Duration) *simulation {
	return &simulation{
		queue: &admitter.Queue{Capacity: capacity, Random: rand.New(rand.NewPCG(1, 1))},
		slots: slots,
		service: func(time.Duration, admitter.Request) time.Duration {
			return work
		},
		targets: map[string][]time.Duration{}, sent: map[uint64]sent{}, seen: map[string]*seen{},
		most: map[string]int{}, inside: map[string]int{},
	}
}

func (s *simulation) at(d time.Duration, do func()) {
	heap.Push(&s.events, event{at: d, number: len(s.events) + int(s.nextID)<<20, do: do})
}

// arrive plays one request.
func (s *simulation) arrive(at time.Duration, customer string, class admitter.Class, target string) {
	s.nextID++
	r := admitter.Request{ID: s.nextID, Customer: customer, Class: class, Target: target, Deadline: epoch.Add(at + 10*time.Second)}
	s.at(at, func() {
		s.sent[r.ID] = sent{request: r, arrived: at}
		s.take(at, s.queue.Arrive(epoch.Add(at), r))
	})
}

// every plays requests at a steady pace.
func (s *simulation) every(from, to, pace time.Duration, customer string, class admitter.Class) {
	for at := from; at < to; at += pace {
		s.arrive(at, customer, class, "primary")
	}
}

func (s *simulation) customer(name string) *seen {
	c := s.seen[name]
	if c == nil {
		c = &seen{refused: map[string]int{}}
		s.seen[name] = c
	}
	return c
}

func (s *simulation) take(now time.Duration, decisions []admitter.Decision) {
	for _, d := range decisions {
		x := s.sent[d.ID]
		if d.Refusal != nil {
			c := s.customer(x.request.Customer)
			c.refused[d.Refusal.Reason.Name]++
			c.retry = append(c.retry, d.Refusal.After())
			continue
		}
		s.start(now, x)
	}
}

// start runs a request in the first slot that becomes free at its target.
func (s *simulation) start(now time.Duration, x sent) {
	r := x.request
	if s.targets[r.Target] == nil {
		s.targets[r.Target] = make([]time.Duration, s.slots)
	}
	free := s.targets[r.Target]
	slices.Sort(free)
	begin := max(free[0], now)
	end := begin + s.service(begin, r)
	free[0] = end
	s.inside[r.Target]++
	s.most[r.Target] = max(s.most[r.Target], s.inside[r.Target])
	s.at(end, func() {
		s.inside[r.Target]--
		s.customer(r.Customer).latencies = append(s.customer(r.Customer).latencies, end-x.arrived)
		s.take(end, s.queue.Done(epoch.Add(end), r.ID, admitter.Outcome{Held: end - now}))
	})
}

// run plays everything and expires deadlines every 10 ms.
func (s *simulation) run(until time.Duration) {
	for at := time.Duration(0); at < until; at += 10 * time.Millisecond {
		s.at(at, func() { s.take(at, s.queue.Expire(epoch.Add(at))) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > until {
			return
		}
		e.do()
	}
}

func (c *seen) percentile(p float64) time.Duration {
	l := slices.Clone(c.latencies)
	slices.Sort(l)
	return l[min(len(l)-1, int(p*float64(len(l))))]
}

func (c *seen) refusals() int {
	n := 0
	for _, k := range c.refused {
		n += k
	}
	return n
}

func mustServe(t *testing.T, c *seen, n int) {
	t.Helper()
	must.Eq(t, n, len(c.latencies), must.Sprintf("refused: %v", c.refused))
	must.Eq(t, 0, c.refusals())
}

func mustWaitLess(t *testing.T, c *seen, p float64, limit time.Duration) {
	t.Helper()
	must.LessEq(t, limit, c.percentile(p), must.Sprintf("percentile %v", p))
}

func mustComeBack(t *testing.T, c *seen) {
	t.Helper()
	for _, d := range c.retry {
		must.Between(t, time.Millisecond, d, 8*time.Second)
	}
}
