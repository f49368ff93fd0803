package lender_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/standin/groupsimulator"
	"github.com/shoenig/test/must"
)

// replay is the load of "limits" on one member with 6 slots and 66 connections, which the holders of a
// number of zones share, and its outcome. Each statement takes 20 ms, each opening 12 ms.
type replay struct {
	customers, zones int
	perSecond        float64
	// warmUp is the time before the outcome counts. dead is the number of connections that the member
	// still holds for the first 3 s, as after a power loss.
	warmUp, duration time.Duration
	dead             int

	served, failed, opened, refused int
	perOperation                    float64
	waits                           []time.Duration
	p99                             time.Duration
}

// run replays the load. Customers are used by Zipf's law, and each zone in turn has most of the demand
// for 15 s.
func (r *replay) run(t *testing.T) {
	group := &groupsimulator.Group{MaxConnections: 66, Slots: 6, MaxQueued: 64, HandshakeTime: 12 * time.Millisecond}
	runSharedPools(t, group, r.zones, r.zones, func(t *testing.T, s *testGroup) {
		m, _ := s.pools[0].Group.Member("g-1")
		for n := range r.dead {
			c, err := lender.Connect(t.Context(), s.net.Host("10.8.9.9", "a"), s.pools[0].Codec, m, name(n))
			must.NoError(t, err)
			time.AfterFunc(3*time.Second, c.Close)
		}
		for _, p := range s.pools {
			p.Configure(66, directory(r.customers))
		}
		random, begin := rand.New(rand.NewPCG(1, 1)), time.Now()
		var mutex sync.Mutex
		var running sync.WaitGroup
		before := 0
		time.AfterFunc(r.warmUp, func() { before = openedBy(s.pools) })
		for time.Since(begin) < r.warmUp+r.duration {
			p := s.pools[random.IntN(r.zones)]
			if random.Float64() < 0.55 {
				p = s.pools[int(time.Since(begin)/(15*time.Second))%r.zones]
			}
			customer := name(int(math.Pow(float64(r.customers+1), random.Float64())) - 1)
			class, counted := random.IntN(3), time.Since(begin) > r.warmUp
			running.Go(func() {
				arrived := time.Now()
				c, err := p.Borrow(t.Context(), lender.Request{EligibleMembers: primary, Customer: customer, Priority: class, Deadline: arrived.Add(600 * time.Millisecond)})
				wait := time.Since(arrived)
				if err == nil {
					p.Group.RecordSend(c.Member)
					sent := time.Now()
					replies, _, err := c.Exchange([]messenger.Command{{ID: "x", Kind: messenger.KindRead, Text: "FETCH k"}}, sent.Add(time.Second))
					must.NoError(t, err)
					p.Group.RecordResponse(p.Clock(), c.Member, time.Since(sent), replies[0].Position)
					p.NoteResult(c, replies[0].Code != messenger.CodeBusy)
					p.Return(c)
				}
				mutex.Lock()
				defer mutex.Unlock()
				switch {
				case counted && err == nil:
					r.served++
					r.waits = append(r.waits, wait)
				case counted:
					r.failed++
				}
			})
			time.Sleep(time.Duration(random.ExpFloat64() / r.perSecond * float64(time.Second)))
		}
		running.Wait()
		r.opened, r.refused = openedBy(s.pools)-before, int(s.refused.Load())
	})
	slices.Sort(r.waits)
	r.perOperation, r.p99 = float64(r.opened)/float64(r.served), r.waits[99*len(r.waits)/100]
	t.Logf("served %d, failed %d, opened per operation %.3f, refused by the member %d, wait p99 %v", r.served, r.failed, r.perOperation, r.refused, r.p99)
}

func openedBy(pools []*lender.Pool) (sum int) {
	for _, p := range pools {
		_, _, _, opened := p.Stats()
		sum += opened
	}
	return sum
}

// Guards against opening a connection for every third statement, and beyond the member's limit, where
// more customers than a member accepts connections use it, or where demand swings between zones.
func TestOpeningsPerOperation(t *testing.T) {
	for _, r := range []replay{
		{customers: 78, zones: 1, perSecond: 30},
		{customers: 78, zones: 1, perSecond: 120},
		{customers: 78, zones: 1, perSecond: 200},
		{customers: 78, zones: 1, perSecond: 240},
		{customers: 8, zones: 6, perSecond: 200},
	} {
		t.Run(fmt.Sprint(r.customers, r.perSecond), func(t *testing.T) {
			r.warmUp, r.duration = 10*time.Second, 30*time.Second
			r.run(t)
			must.Less(t, 0.15, r.perOperation)
			must.Eq(t, 0, r.refused+r.failed)
		})
	}
}

// After a power loss, a member holds the connections of all customers for 3 s; the remaining places
// must be enough to serve all customers.
func TestRoomAfterPowerLoss(t *testing.T) {
	r := replay{customers: 78, zones: 1, perSecond: 200, duration: 3 * time.Second, dead: 51}
	r.run(t)
	must.Eq(t, 0, r.failed)
	must.Less(t, 150*time.Millisecond, r.p99)
}

// After a restart of all instances, the holders' first connections must not take all slots of a
// member, nor queue for them.
func TestOpeningsStayWithinSlots(t *testing.T) {
	const holders, slots = 6, 6
	group := &groupsimulator.Group{MaxConnections: 66, Slots: slots, HandshakeTime: 12 * time.Millisecond}
	runSharedPools(t, group, holders, holders, func(t *testing.T, s *testGroup) {
		errs := make(chan error, holders*4)
		for _, p := range s.pools {
			p.Configure(66, directory(4))
			for n := range 4 {
				go func() {
					c, err := p.Borrow(t.Context(), lender.Request{EligibleMembers: primary, Customer: name(n), Deadline: time.Now().Add(time.Second)})
					if err == nil {
						time.AfterFunc(500*time.Millisecond, func() { p.Return(c) })
					}
					errs <- err
				}()
			}
		}
		for range 200 {
			time.Sleep(time.Millisecond)
			// Otherwise an opening may end, and another begin, between the two counts.
			synctest.Wait()
			open := 0
			for _, p := range s.pools {
				n, _, _, _ := p.Stats()
				open += n
			}
			must.LessEq(t, slots, openedBy(s.pools)-open)
		}
		for range cap(errs) {
			must.NoError(t, <-errs)
		}
		time.Sleep(time.Second)
	})
}
