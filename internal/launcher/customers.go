package launcher

import (
	"sync"

	"github.com/oriolegw/oriolegw/internal/accountant"
	"github.com/oriolegw/oriolegw/internal/limiter"
)

// This file shows operators the customers: their limits, what they use, what was refused.

// tallies counts by customer. The zero value is ready.
type tallies struct {
	mutex sync.Mutex
	count map[string]int64
}

func (t *tallies) add(customer string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.count == nil {
		t.count = map[string]int64{}
	}
	t.count[customer]++
}

func (t *tallies) get(customer string) int64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.count[customer]
}

// customerStates returns what this instance knows of each customer.
func (i *Instance) customerStates() []accountant.CustomerState {
	c := i.configuration.Load()
	if c == nil {
		return nil
	}
	held := map[string]int{}
	for _, b := range i.groupsInUse() {
		b.Pool.CountByCustomer(held)
	}
	accounts := map[string]limiter.Balance{}
	if i.peers != nil {
		for _, b := range i.peers.accountant.Ledger.Balances(i.Clock()) {
			accounts[b.Customer] = b
		}
	}
	var list []accountant.CustomerState
	for x := range c.Customers.All {
		s := accountant.CustomerState{
			Customer: x.Name, PerSecond: x.Limit.PerSecond, Burst: x.Limit.Burst, Keys: len(x.Keys),
			Connections: held[x.Name], Refused: i.refusedOf.get(x.Name),
		}
		if b, ok := accounts[x.Name]; ok && b.Instances > 0 {
			s.IsAccountant, s.Used, s.Available, s.Leased, s.Demand = true, b.Used, b.Available, b.Leased, b.Demand
		}
		list = append(list, s)
	}
	return list
}

// countCustomers returns how many customers there are, and how many keys they hold.
func (i *Instance) countCustomers() (customers, keys int64) {
	c := i.configuration.Load()
	if c == nil {
		return 0, 0
	}
	for x := range c.Customers.All {
		customers++
		keys += int64(len(x.Keys))
	}
	return customers, keys
}
