package balancer_test

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/balancer"
	"github.com/shoenig/test/must"
)

const (
	seconds = 60
	slots   = 4
	service = 13 * time.Millisecond
	// samplePeriod and informationAge are the age of a member's load at the instances at least.
	samplePeriod, informationAge = 800 * time.Millisecond, time.Second
)

type (
	// event is an action at a virtual time.
	event struct {
		at time.Duration
		do func()
	}
	events []event

	// target is a member that runs statements in its slots, in order of arrival.
	target struct {
		slowness float64
		running  int
		queue    []func()
		// average is the observed load, and known what the instances know of it.
		average, known float64
		// work is the occupied slot time by second.
		work [seconds]time.Duration
	}

	// replay is a group with a member in each of three regions, the primary in the first, and many
	// instances that all have the same load information.
	replay struct {
		// writes and reads by region are the part of one member's capacity that they occupy.
		writes float64
		reads  func(region int, second float64) float64
		// slowness is the factor of the service time at the third member. With adjacent set, all
		// members are replicas in one region.
		slowness float64
		adjacent bool
		order    func(list []balancer.Member, random func() float64) balancer.Outcome

		now     time.Duration
		agenda  events
		random  *rand.Rand
		targets [3]*target
		// served counts the reads by region of the instance and member.
		served [3][3]int
		// latency is the time from sending all reads and writes to their replies.
		latency time.Duration
	}
)

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (r *replay) after(d time.Duration, do func()) { heap.Push(&r.agenda, event{r.now + d, do}) }

func (r *replay) exponential(mean time.Duration) time.Duration {
	return time.Duration(r.random.ExpFloat64() * float64(mean))
}

// run runs a statement at a target.
func (r *replay) run(x *target, mean time.Duration, done func()) {
	if x.running == slots {
		x.queue = append(x.queue, func() { r.run(x, mean, done) })
		return
	}
	x.running++
	took := r.exponential(time.Duration(float64(mean) * x.slowness))
	x.work[min(int(r.now/time.Second), seconds-1)] += took
	r.after(took, func() {
		x.running--
		done()
		if len(x.queue) > 0 {
			next := x.queue[0]
			x.queue = x.queue[1:]
			next()
		}
	})
}

// arrivals calls do at random times with a rate per second that may change.
func (r *replay) arrivals(rate func(second float64) float64, do func()) {
	perSecond := rate(r.now.Seconds())
	r.after(r.exponential(time.Duration(float64(time.Second)/max(perSecond, 0.1))), func() {
		do()
		r.arrivals(rate, do)
	})
}

// observe updates what the instances know of a target's load.
func (r *replay) observe(x *target, period time.Duration) {
	r.after(period, func() {
		x.average += (1 - math.Exp(-period.Seconds())) * (float64(x.running+len(x.queue)) - x.average)
		seen := x.average
		r.after(informationAge, func() { x.known = seen })
		r.observe(x, period)
	})
}

// read places a read of an instance in a region.
func (r *replay) read(region int) {
	var list []balancer.Member
	for i, x := range r.targets {
		m := balancer.Member{ID: string(rune('0' + i)), Slots: slots, Busy: x.known, Network: 16 * time.Millisecond, Service: time.Duration(float64(service) * x.slowness), Near: i == region || r.adjacent, Primary: i == 0 && !r.adjacent}
		if m.Near {
			m.Network = time.Millisecond
		}
		list = append(list, m)
	}
	r.order(list, r.random.Float64)
	i, began := int(list[0].ID[0]-'0'), r.now
	r.served[region][i]++
	r.after(list[0].Network/2, func() {
		r.run(r.targets[i], service, func() { r.latency += r.now - began + list[0].Network/2 })
	})
}

// play plays one minute of statements.
func (r replay) play() *replay {
	r.random = rand.New(rand.NewPCG(1, 1))
	if r.order == nil {
		r.order = balancer.Order
	}
	capacity := slots / service.Seconds()
	for i := range r.targets {
		r.targets[i] = &target{slowness: 1}
		r.observe(r.targets[i], samplePeriod)
		r.arrivals(func(s float64) float64 { return capacity * r.reads(i, s) }, func() { r.read(i) })
	}
	r.targets[2].slowness = max(1, r.slowness)
	r.arrivals(func(float64) float64 { return 5 * capacity * r.writes }, func() {
		began := r.now
		r.run(r.targets[0], service/5, func() { r.latency += r.now - began })
	})
	for r.agenda[0].at < seconds*time.Second {
		next := heap.Pop(&r.agenda).(event)
		r.now = next.at
		next.do()
	}
	return &r
}

// load returns the occupied part of a member's slots, and its standard deviation by second.
func (r *replay) load(i int) (mean, deviation float64) {
	var sum, squares float64
	for _, w := range r.targets[i].work {
		sum += w.Seconds() / slots
		squares += w.Seconds() / slots * w.Seconds() / slots
	}
	mean = sum / seconds
	return mean, math.Sqrt(squares/seconds - mean*mean)
}

// demand returns a constant demand of each region.
func demand(regions ...float64) func(int, float64) float64 {
	return func(region int, _ float64) float64 { return regions[region] }
}

// swinging is a demand of the regions that rises and falls by 55%, one after the other.
func swinging(region int, second float64) float64 {
	return 0.55 * (1 + 0.55*math.Sin(2*math.Pi*(second/45+float64(region)/3)))
}

// leastCost chooses the member with the least cost, as all instances would without the random choice.
func leastCost(list []balancer.Member, _ func() float64) balancer.Outcome {
	slices.SortStableFunc(list, func(a, b balancer.Member) int { return cmp.Compare(a.Cost(), b.Cost()) })
	return balancer.OutcomeNear
}

// Guards against a primary with a multiple of a replica's load while regions' demand swings.
func TestLoadIsShared(t *testing.T) {
	r := replay{writes: 0.3, reads: swinging}.play()
	primary, _ := r.load(0)
	second, _ := r.load(1)
	third, _ := r.load(2)
	must.Between(t, 1/1.3, second/third, 1.3)
	must.Between(t, 0.5, primary/min(second, third), 1.5)
}

// Guards against reads that delay the writes of the primary by more than they gain there, and against
// reads sent away that it has room for.
func TestPrimaryServesWhatIsFaster(t *testing.T) {
	near := func(list []balancer.Member, _ func() float64) balancer.Outcome {
		slices.SortStableFunc(list, func(a, b balancer.Member) int { return cmp.Compare(a.Network, b.Network) })
		return balancer.OutcomeNear
	}
	never := func(list []balancer.Member, random func() float64) balancer.Outcome {
		slices.SortFunc(list, func(a, b balancer.Member) int { return cmp.Compare(a.ID, b.ID) })
		balancer.Order(list[1:], random)
		list[0], list[1] = list[1], list[0]
		return balancer.OutcomeNear
	}
	busy := replay{writes: 0.4, reads: demand(0.5, 0.5, 0.5)}
	quiet := replay{writes: 0.1, reads: demand(0.2, 0.2, 0.2)}
	chosen, quietChosen := busy.play(), quiet.play()
	busy.order, quiet.order = near, never
	must.Less(t, busy.play().latency*3/4, chosen.latency)
	must.Less(t, quiet.play().latency*9/10, quietChosen.latency)
}

// Guards against reads that leave a region whose member has room, which costs bytes between regions.
func TestQuietRegionsKeepTheirReads(t *testing.T) {
	r := replay{writes: 0.1, reads: demand(0.2, 0.25, 0.3)}.play()
	away, all := 0, 0
	for region, members := range r.served {
		for i, n := range members {
			all += n
			if i != region {
				away += n
			}
		}
	}
	must.Less(t, 0.01*float64(all), float64(away))
}

// Guards against instances that all move to the same member as soon as information arrives, which
// is 1 s old.
func TestNoOscillation(t *testing.T) {
	r := replay{writes: 0.3, reads: demand(0.75, 0.6, 0.6)}
	_, deviation := r.play().load(0)
	must.Less(t, 0.22, deviation)
	r.order = leastCost
	_, deviation = r.play().load(0)
	must.Greater(t, 0.25, deviation) // the replay shows the failure
}

// Guards against a member that is four times slower and gets the same load as the others.
func TestSlowMemberGetsQuarter(t *testing.T) {
	r := replay{reads: demand(0.5, 0.5, 0.5), slowness: 4, adjacent: true}.play()
	var n [3]float64
	for _, members := range r.served {
		for i := range members {
			n[i] += float64(members[i])
		}
	}
	must.Between(t, 0.2, 2*n[2]/(n[0]+n[1]), 0.3)
}

// A member in the region wins at equal cost, a primary loses its reads as its queue grows, and a
// single candidate is chosen whatever its load.
func TestOutcomes(t *testing.T) {
	one := balancer.Member{ID: "a", Slots: 4, Service: service, Near: true, Primary: true}
	far := balancer.Member{ID: "b", Slots: 4, Service: service, Network: 16 * time.Millisecond}
	zero := func() float64 { return 0 }
	must.Eq(t, balancer.OutcomeUnknown, balancer.Order(nil, zero))
	must.Eq(t, balancer.OutcomeNear, balancer.Order([]balancer.Member{one}, zero))
	must.Eq(t, balancer.OutcomeNear, balancer.Order([]balancer.Member{far, one}, zero))
	one.Busy = 6
	must.Eq(t, balancer.OutcomeRelieved, balancer.Order([]balancer.Member{far, one}, zero))
	one.Near, far.Near, far.Busy = false, false, 40
	must.Eq(t, balancer.OutcomePrimary, balancer.Order([]balancer.Member{far, one}, zero))
}

// Guards against reads that leave the region for an idle connection although the near member has room,
// and against those that use one to an overloaded primary.
func TestTrim(t *testing.T) {
	near, far := balancer.Member{Near: true, Network: 1}, balancer.Member{Network: 2}
	overloaded := balancer.Member{Near: true, Primary: true, Slots: 1, Busy: 9, Service: 1}
	must.Eq(t, []balancer.Member{near, near}, balancer.Trim([]balancer.Member{near, far, near}))
	must.Eq(t, []balancer.Member{far}, balancer.Trim([]balancer.Member{far, overloaded}))
	must.Eq(t, []balancer.Member{overloaded, far}, balancer.Trim([]balancer.Member{overloaded, far}))
}
