package balancer_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/balancer"
	"github.com/shoenig/test/must"
)

const (
	seconds, slots = 60, 4
	// service is the mean time of a read in a slot, in steps of 1 ms; a write takes a fifth. A member's
	// load is observed every samplePeriod and has at least informationAge at the instances.
	service, samplePeriod, informationAge = 13, 800, 1000
)

type (
	// target is a member that runs statements in its slots, in order of arrival.
	target struct {
		// free is when each slot becomes free, ends is when the running and queued statements end.
		free [slots]float64
		ends []float64
		// average and previous are the last two observed loads, known is what the instances know.
		average, previous, known float64
		// work is the occupied part of the slots by second.
		work [seconds]float64
	}

	// replay is a group with a member in each of three regions, the primary in the first, and many
	// instances that all have the same load information.
	replay struct {
		// writes and reads by region are the part of one member's capacity that they occupy.
		writes float64
		reads  func(region int, second float64) float64
		// slowness is the factor of the service time at the third member, if it is set; all members are
		// then replicas in one region.
		slowness float64
		// order, if set, is the figure by which all instances choose, without the random choice.
		order func(balancer.Member) time.Duration

		targets [3]target
		// served counts the reads by region of the instance and member, latency is the sum of the
		// times in milliseconds from sending statements to their replies.
		served  [3][3]int
		latency float64
	}
)

// step advances a member by 1 ms.
func (x *target) step(now int) {
	x.ends = slices.DeleteFunc(x.ends, func(end float64) bool { return end <= float64(now) })
	x.work[now/1000] += float64(min(slots, len(x.ends))) / slots / 1000
	switch now % samplePeriod {
	case 0:
		x.previous = x.average
		x.average += (1 - math.Exp(-samplePeriod/1000.0)) * (float64(len(x.ends)) - x.average)
	case informationAge - samplePeriod:
		x.known = x.previous
	}
}

// play plays one minute of statements.
func (r replay) play() *replay {
	random := rand.New(rand.NewPCG(1, 1))
	send := func(now, member int, mean float64) {
		x := &r.targets[member]
		if member == 2 {
			mean *= max(1, r.slowness)
		}
		slices.Sort(x.free[:])
		x.free[0] = max(x.free[0], float64(now)) + random.ExpFloat64()*mean
		x.ends = append(x.ends, x.free[0])
		r.latency += x.free[0] - float64(now)
	}
	for now := range seconds * 1000 {
		for region := range r.targets {
			if random.Float64() >= r.reads(region, float64(now)/1000)*slots/float64(service) {
				continue
			}
			list := make([]balancer.Member, 3)
			for i, x := range r.targets {
				list[i] = balancer.Member{ID: strconv.Itoa(i), Slots: slots, Busy: x.known, Network: time.Millisecond, Service: service * time.Millisecond, Near: i == region || r.slowness > 0, Primary: i == 0 && r.slowness == 0}
				if !list[i].Near {
					list[i].Network *= 16
				}
			}
			list[2].Service *= time.Duration(max(1, r.slowness))
			if r.order != nil {
				slices.SortStableFunc(list, func(a, b balancer.Member) int { return cmp.Compare(r.order(a), r.order(b)) })
			} else {
				balancer.Order(list, random.Float64)
			}
			r.latency += float64(list[0].Network.Milliseconds())
			i, _ := strconv.Atoi(list[0].ID)
			r.served[region][i]++
			send(now, i, service)
		}
		if random.Float64() < r.writes*5*slots/float64(service) {
			send(now, 0, service/5.0)
		}
		for i := range r.targets {
			r.targets[i].step(now)
		}
	}
	return &r
}

// load returns the occupied part of a member's slots, and its standard deviation by second.
func (r *replay) load(i int) (mean, deviation float64) {
	var sum, squares float64
	for _, w := range r.targets[i].work {
		sum += w
		squares += w * w
	}
	mean = sum / seconds
	return mean, math.Sqrt(squares/seconds - mean*mean)
}

// demand returns a constant demand of each region; swinging rises and falls by 55%, one after the other.
func demand(regions ...float64) func(int, float64) float64 {
	return func(region int, _ float64) float64 { return regions[region] }
}

func swinging(region int, second float64) float64 {
	return 0.55 * (1 + 0.55*math.Sin(2*math.Pi*(second/45+float64(region)/3)))
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

// Guards against reads that delay the writes of the primary by more than they gain there.
func TestPrimaryServesWhatIsFaster(t *testing.T) {
	r := replay{writes: 0.4, reads: demand(0.5, 0.5, 0.5)}
	chosen := r.play()
	r.order = func(m balancer.Member) time.Duration { return m.Network }
	must.Less(t, r.play().latency*3/4, chosen.latency)
}

// Guards against reads that leave a region whose member, replica or primary, has room, which costs
// bytes between regions.
func TestQuietRegionsKeepTheirReads(t *testing.T) {
	r := replay{writes: 0.1, reads: demand(0.2, 0.25, 0.3)}.play()
	for region, members := range r.served {
		must.Greater(t, 0.98*float64(members[0]+members[1]+members[2]), float64(members[region]))
	}
}

// Guards against instances that all move to the same member as soon as information arrives, which
// is 1 s old.
func TestNoOscillation(t *testing.T) {
	r := replay{writes: 0.3, reads: demand(0.75, 0.6, 0.6)}
	_, deviation := r.play().load(0)
	must.Less(t, 0.2, deviation)
	r.order = balancer.Member.Cost
	_, deviation = r.play().load(0)
	must.Greater(t, 0.25, deviation) // the replay shows the failure
}

// Guards against a member that is four times slower and gets the same load as the others.
func TestSlowMemberGetsQuarter(t *testing.T) {
	r := replay{reads: demand(0.5, 0.5, 0.5), slowness: 4}.play()
	for _, n := range r.served {
		must.Between(t, 0.2, 2*float64(n[2])/float64(n[0]+n[1]), 0.3)
	}
}

// Guards against refusals by a queue that is unknown, old or from the future, and against borrowers
// that ask no more once it was long.
func TestAsks(t *testing.T) {
	p := balancer.Pressure{Waits: []time.Duration{10 * time.Millisecond, time.Second}, At: time.Minute}
	asks := func(age time.Duration, class, inFlight int) bool {
		return p.Asks(time.Minute+age, class, 100*time.Millisecond, inFlight)
	}
	must.False(t, asks(0, 1, 1) || asks(500*time.Millisecond, 2, 1))
	must.True(t, asks(0, 0, 1) && asks(0, 1, 0) && asks(501*time.Millisecond, 1, 1) && asks(-1, 1, 1))
	p.Waits = nil
	must.True(t, asks(0, 1, 1))
}

// Guards against impossible reports of a holder.
func TestInvalidPressure(t *testing.T) {
	for _, waits := range [][]time.Duration{{-1}, {10*time.Second + 1}, {2, 1}, make([]time.Duration, 65)} {
		must.Error(t, balancer.Pressure{Waits: waits}.Check())
	}
	must.NoError(t, balancer.Pressure{Waits: []time.Duration{0, time.Second}}.Check())
}
