package lender_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/standin/groupsimulator"
	"github.com/shoenig/test/must"
)

// skewed returns a customer's number, with probabilities that fall with the number as in Zipf's law
// with the given exponent.
func skewed(random *rand.Rand, customers int, exponent float64) int {
	sum := 0.0
	for n := range customers {
		sum += math.Pow(float64(n+1), -exponent)
	}
	x := random.Float64() * sum
	for n := range customers {
		if x -= math.Pow(float64(n+1), -exponent); x < 0 {
			return n
		}
	}
	return customers - 1
}

// limitsReplay is the outcome of a replay of the load of "limits" on one member.
type limitsReplay struct {
	served, failed, opened, refused int
	waits                           []time.Duration
}

func (r limitsReplay) String() string {
	return fmt.Sprintf("served %d, failed %d, opened %d (%.3f per operation), refused by the member %d, median wait %v, p99 %v",
		r.served, r.failed, r.opened, float64(r.opened)/float64(max(1, r.served)), r.refused, quantile(r.waits, 0.5), quantile(r.waits, 0.99))
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

// replayLimits sends the statements of 78 customers with skewed use to one member with 6 slots and
// 66 connections, which one pool holds.
func replayLimits(t *testing.T, seed uint64, perSecond float64, duration time.Duration) (r limitsReplay) {
	group := &groupsimulator.Group{MaxConnections: 66, Slots: 6, MaxQueued: 64, HandshakeTime: 12 * time.Millisecond}
	runSharedPools(t, group, 1, 1, func(t *testing.T, s *testGroup) {
		p := s.pools[0]
		p.Configure(66, directory(78))
		random := rand.New(rand.NewPCG(seed, 1))
		var mutex sync.Mutex
		var running sync.WaitGroup
		before := 0
		begin := time.Now()
		warm := false
		for time.Since(begin) < duration {
			if !warm && time.Since(begin) > duration/4 {
				warm = true
				_, _, _, before = p.Stats()
			}
			counted := warm
			customer, class := name(skewed(random, 78, 1)), random.IntN(3)
			running.Go(func() {
				wait, err := runClassStatement(t, p, customer, class)
				mutex.Lock()
				defer mutex.Unlock()
				switch {
				case !counted:
				case err != nil:
					r.failed++
				default:
					r.served++
					r.waits = append(r.waits, wait)
				}
			})
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		}
		running.Wait()
		_, _, _, opened := p.Stats()
		r.opened, r.refused = opened-before, int(s.refused.Load())
		slices.Sort(r.waits)
	})
	return r
}

// runClassStatement runs one statement of a class and returns its wait for a connection.
func runClassStatement(t *testing.T, p *lender.Pool, customer string, class int) (time.Duration, error) {
	begin := time.Now()
	c, err := p.Borrow(t.Context(), lender.Request{EligibleMembers: primary, Customer: customer, Priority: class, Deadline: time.Now().Add(600 * time.Millisecond)})
	if err != nil {
		return 0, err
	}
	wait := time.Since(begin)
	p.Group.RecordSend(c.Member)
	sent := time.Now()
	replies, _, err := c.Exchange([]messenger.Command{{ID: "x", Kind: messenger.KindRead, Text: "FETCH k"}}, sent.Add(time.Second))
	if err == nil {
		p.Group.RecordResponse(p.Clock(), c.Member, time.Since(sent), replies[0].Position)
		p.NoteResult(c, replies[0].Code != messenger.CodeBusy)
	}
	p.Return(c)
	return wait, err
}

// replayPowerLoss sends the load of replayLimits to a member that still holds dead connections for 3 s
// after all instances lost power, to a pool that has just started.
func replayPowerLoss(t *testing.T, dead int, perSecond float64) (r limitsReplay) {
	group := &groupsimulator.Group{MaxConnections: 66, Slots: 6, MaxQueued: 64, HandshakeTime: 12 * time.Millisecond}
	runSharedPools(t, group, 1, 1, func(t *testing.T, s *testGroup) {
		p := s.pools[0]
		host := s.net.Host("10.8.9.9", "a")
		m, _ := p.Group.Member("g-1")
		var old []*lender.Conn
		for n := range dead {
			c, err := lender.Connect(t.Context(), host, p.Codec, m, name(n))
			must.NoError(t, err)
			old = append(old, c)
		}
		p.Configure(66, directory(78))
		time.AfterFunc(3*time.Second, func() {
			for _, c := range old {
				c.Close()
			}
		})
		random := rand.New(rand.NewPCG(1, 1))
		var mutex sync.Mutex
		var running sync.WaitGroup
		_, _, _, before := p.Stats()
		for begin := time.Now(); time.Since(begin) < 3*time.Second; {
			customer, class := name(skewed(random, 78, 1)), random.IntN(3)
			running.Go(func() {
				wait, err := runClassStatement(t, p, customer, class)
				mutex.Lock()
				defer mutex.Unlock()
				if err != nil {
					r.failed++
					return
				}
				r.served++
				r.waits = append(r.waits, wait)
			})
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		}
		running.Wait()
		_, _, _, opened := p.Stats()
		r.opened, r.refused = opened-before, int(s.refused.Load())
		slices.Sort(r.waits)
	})
	return r
}

// Guards against opening a connection for every third statement, and against openings beyond the
// member's limit, where more customers than a member accepts connections use it.
func TestOpeningsPerOperation(t *testing.T) {
	for _, perSecond := range []float64{30, 120, 200, 240} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			r := replayLimits(t, 1, perSecond, 40*time.Second)
			t.Log(r)
			must.Less(t, 0.15, float64(r.opened)/float64(r.served))
			must.Eq(t, 0, r.refused)
			must.Eq(t, 0, r.failed)
		})
	}
}

// After a power loss, members hold the connections of all customers for 3 s; the remaining places
// must be enough to serve all customers.
func TestRoomAfterPowerLoss(t *testing.T) {
	for _, dead := range []int{33, 48} {
		t.Run(fmt.Sprint(dead), func(t *testing.T) {
			r := replayPowerLoss(t, dead, 200)
			t.Log(r)
			must.Eq(t, 0, r.failed)
			must.Less(t, 150*time.Millisecond, quantile(r.waits, 0.99))
		})
	}
}
