package lender_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/standin/groupsimulator"
	"github.com/shoenig/test/must"
)

// restartGroup returns a group of the size of "limits".
func restartGroup() *groupsimulator.Group {
	return &groupsimulator.Group{MaxConnections: 66, Slots: 6, MaxQueued: 64, HandshakeTime: 12 * time.Millisecond}
}

// sendAtOnce sends a statement for each customer number, with the class that follows its number, and
// returns the customers in the order in which their first statements ran.
func sendAtOnce(t *testing.T, s *testGroup, customers []int, class func(n int) int) (order []string) {
	t.Helper()
	var running sync.WaitGroup
	for _, n := range customers {
		running.Go(func() {
			_, err := runClassStatement(t, s.pools[0], name(n), class(n))
			must.NoError(t, err)
		})
	}
	running.Wait()
	seen := map[string]bool{}
	for _, line := range s.group.ExecutedByCustomer("g-1") {
		customer, _, _ := strings.Cut(line, " ")
		if !seen[customer] && strings.HasPrefix(customer, "c") {
			seen[customer] = true
			order = append(order, customer)
		}
	}
	return order
}

// After a restart of all instances, the holders' first connections must not take all slots of a
// member, nor queue for them.
func TestOpeningsStayWithinSlots(t *testing.T) {
	const holders = 6
	runSharedPools(t, restartGroup(), holders, holders, func(t *testing.T, s *testGroup) {
		var running sync.WaitGroup
		for _, p := range s.pools {
			p.Configure(66, directory(4))
			for n := range 4 {
				running.Go(func() {
					c, err := p.Borrow(t.Context(), lender.Request{EligibleMembers: primary, Customer: name(n), Deadline: time.Now().Add(time.Second)})
					must.NoError(t, err)
					time.Sleep(500 * time.Millisecond)
					p.Return(c)
				})
			}
		}
		most := 0
		for range 200 {
			time.Sleep(time.Millisecond)
			opening := 0
			for _, p := range s.pools {
				open, _, _, opened := p.Stats()
				opening += opened - open
			}
			most = max(most, opening)
		}
		running.Wait()
		must.Between(t, 1, most, 6)
	})
}

// After a restart of all instances, urgent requests must not wait for the connections of others that
// came first.
func TestOpeningsFollowClass(t *testing.T) {
	runSharedPools(t, restartGroup(), 1, 1, func(t *testing.T, s *testGroup) {
		s.pools[0].Configure(66, directory(40))
		var customers []int
		for n := range 30 {
			customers = append(customers, n)
		}
		// The last five are urgent.
		order := sendAtOnce(t, s, customers, func(n int) int { return 2 * min(1, (29-n)/5) })
		for _, urgent := range []string{"c25", "c26", "c27", "c28", "c29"} {
			must.SliceContains(t, order[:12], urgent)
		}
	})
}

// A customer with many waiting requests must not take the openings of others that have no connection.
func TestFirstConnectionsPrecedeBacklog(t *testing.T) {
	runSharedPools(t, restartGroup(), 1, 1, func(t *testing.T, s *testGroup) {
		s.pools[0].Configure(66, directory(40))
		customers := make([]int, 40)
		for n := 1; n < 16; n++ {
			customers = append(customers, n)
		}
		begin := time.Now()
		order := sendAtOnce(t, s, customers, func(int) int { return 1 })
		must.SliceLen(t, 16, order)
		must.Less(t, 500*time.Millisecond, time.Since(begin))
	})
}
